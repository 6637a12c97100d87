package org.cyclamenpaddle.router.operator;

import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.RequestHeaders;
import io.vavr.control.Either;
import org.cyclamenpaddle.core.id.ChangeId;
import org.cyclamenpaddle.core.outcome.RefusalReason;
import org.cyclamenpaddle.router.problem.Problem;

/**
 * Headers of a configuration change.
 *
 * <p>Both are required: without a precondition, a concurrent change by another operator would be
 * overwritten silently, and without a change id, the outcome of a change whose response was lost
 * could not be determined.
 *
 * @param precondition parsed from {@code If-Match} or {@code If-None-Match}
 * @param change parsed from {@value #CHANGE_ID}
 */
record ChangeHeaders(Precondition precondition, ChangeId change) {

    /** Header that carries the id of a change. */
    static final String CHANGE_ID = "x-change-id";

    static Either<Problem, ChangeHeaders> read(RequestHeaders headers) {
        return precondition(headers)
                .flatMap(
                        precondition ->
                                change(headers)
                                        .map(change -> new ChangeHeaders(precondition, change)));
    }

    static Either<Problem, ChangeId> change(RequestHeaders headers) {
        String text = headers.get(CHANGE_ID, "");
        try {
            return Either.right(new ChangeId(text));
        } catch (IllegalArgumentException malformed) {
            return badRequest("X-Change-Id: " + malformed.getMessage());
        }
    }

    private static Either<Problem, Precondition> precondition(RequestHeaders headers) {
        String match = headers.get(HttpHeaderNames.IF_MATCH, "");
        String noneMatch = headers.get(HttpHeaderNames.IF_NONE_MATCH, "");
        if (match.isEmpty() == noneMatch.isEmpty()) {
            return badRequest("a change requires either If-Match: <version> or If-None-Match: *");
        }
        if (!noneMatch.isEmpty()) {
            return noneMatch.equals("*")
                    ? Either.right(Precondition.absent())
                    : badRequest("If-None-Match must be *, not " + noneMatch);
        }
        try {
            return Either.right(Precondition.at(Long.parseLong(match)));
        } catch (IllegalArgumentException malformed) {
            return badRequest("If-Match must be a version above 0, not " + match);
        }
    }

    private static <T> Either<Problem, T> badRequest(String detail) {
        return Either.left(Problem.of(RefusalReason.BAD_BODY, detail));
    }
}
