package org.cyclamenpaddle.router.operator;

import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.RequestHeaders;
import io.vavr.control.Either;
import org.cyclamenpaddle.core.id.ChangeId;
import org.cyclamenpaddle.core.outcome.RefusalReason;
import org.cyclamenpaddle.router.problem.Problem;

/**
 * What the headers of a change say.
 *
 * <p>Both are demanded: without a precondition a second operator's change would be lost unseen, and
 * without a change id a lost answer could not be settled.
 *
 * @param precondition from {@code If-Match} or {@code If-None-Match}
 * @param change from {@value #CHANGE_ID}
 */
record ChangeHeaders(Precondition precondition, ChangeId change) {

    /** Header that carries the identity of a change. */
    static final String CHANGE_ID = "x-change-id";

    static Either<Problem, ChangeHeaders> read(RequestHeaders headers) {
        return precondition(headers)
                .flatMap(held -> change(headers).map(change -> new ChangeHeaders(held, change)));
    }

    static Either<Problem, ChangeId> change(RequestHeaders headers) {
        String text = headers.get(CHANGE_ID, "");
        try {
            return Either.right(new ChangeId(text));
        } catch (IllegalArgumentException malformed) {
            return bad("X-Change-Id: " + malformed.getMessage());
        }
    }

    private static Either<Problem, Precondition> precondition(RequestHeaders headers) {
        String match = headers.get(HttpHeaderNames.IF_MATCH, "");
        String noneMatch = headers.get(HttpHeaderNames.IF_NONE_MATCH, "");
        if (match.isEmpty() == noneMatch.isEmpty()) {
            return bad("a change takes either If-Match: <version> or If-None-Match: *");
        }
        if (!noneMatch.isEmpty()) {
            return noneMatch.equals("*")
                    ? Either.right(Precondition.absent())
                    : bad("If-None-Match takes only *, not " + noneMatch);
        }
        try {
            return Either.right(Precondition.at(Long.parseLong(match)));
        } catch (IllegalArgumentException malformed) {
            return bad("If-Match takes a version above 0, not " + match);
        }
    }

    private static <T> Either<Problem, T> bad(String detail) {
        return Either.left(Problem.of(RefusalReason.BAD_BODY, detail));
    }
}
