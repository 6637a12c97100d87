package org.cyclamenpaddle.ctl.client;

import com.fasterxml.jackson.databind.JsonNode;
import com.linecorp.armeria.client.Endpoint;
import com.linecorp.armeria.client.UnprocessedRequestException;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.SessionProtocol;
import com.linecorp.armeria.common.util.Exceptions;
import io.vavr.control.Either;
import io.vavr.control.Try;
import java.time.Duration;
import java.util.List;
import org.cyclamenpaddle.ctl.report.CommandError;
import org.cyclamenpaddle.ctl.report.ExitCode;

/** Entry hosts that are tried in turn. */
final class Servers {

    private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(10);

    private final List<Endpoint> mEndpoints;

    Servers(List<Endpoint> endpoints) {
        if (endpoints.isEmpty()) {
            throw new IllegalArgumentException("at least one entry host is needed");
        }
        mEndpoints = List.copyOf(endpoints);
    }

    /** Reads from the first server that answers at all. */
    Either<CommandError, JsonNode> read(String path) {
        return readFrom(path, false);
    }

    /** Reads from the first server that answers with other than not found. */
    Either<CommandError, JsonNode> readWhereKnown(String path) {
        return readFrom(path, true);
    }

    private Either<CommandError, JsonNode> readFrom(String path, boolean seek) {
        Either<CommandError, JsonNode> last = Either.left(unreachable());
        for (Endpoint endpoint : mEndpoints) {
            Try<AggregatedHttpResponse> sent =
                    send(endpoint, RequestHeaders.of(HttpMethod.GET, path), "");
            if (sent.isFailure()) {
                continue;
            }
            last = Answer.toRead(sent.get());
            boolean unknown = last.isLeft() && last.getLeft().code() == ExitCode.NOT_FOUND;
            if (!seek || !unknown) {
                return last;
            }
        }
        return last;
    }

    /**
     * Sends a change to the first server to which a connection can be had.
     *
     * <p>Another server is tried only as long as no byte of the change has left, since a change
     * that was sent may have been made.
     *
     * @return left if the change was sent and no answer came that says what became of it
     */
    Either<Throwable, Either<CommandError, JsonNode>> change(RequestHeaders headers, String body) {
        for (Endpoint endpoint : mEndpoints) {
            Try<AggregatedHttpResponse> sent = send(endpoint, headers, body);
            if (sent.isSuccess()) {
                return Answer.said(sent.get())
                        ? Either.right(Answer.toChange(sent.get()))
                        : Either.left(new IllegalStateException("status " + sent.get().status()));
            }
            Throwable cause = Exceptions.peel(sent.getCause());
            if (!(cause instanceof UnprocessedRequestException)) {
                return Either.left(cause);
            }
        }
        return Either.right(Either.left(unreachable()));
    }

    private static Try<AggregatedHttpResponse> send(
            Endpoint endpoint, RequestHeaders headers, String body) {
        WebClient client =
                WebClient.builder(SessionProtocol.HTTP, endpoint)
                        .responseTimeout(ANSWER_TIMEOUT)
                        .build();
        return Try.of(() -> client.execute(headers, body).aggregate().join());
    }

    private CommandError unreachable() {
        return CommandError.of(ExitCode.UNREACHABLE, "no entry host answers at " + mEndpoints);
    }
}
