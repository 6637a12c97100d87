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

/** HTTP client that tries a list of entry hosts in order. */
final class FailoverClient {

    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(10);

    private final List<Endpoint> mEndpoints;

    FailoverClient(List<Endpoint> endpoints) {
        if (endpoints.isEmpty()) {
            throw new IllegalArgumentException("expected at least one entry host, got none");
        }
        mEndpoints = List.copyOf(endpoints);
    }

    /** Reads from the first entry host that responds. */
    Either<CommandError, JsonNode> read(String path) {
        return readInTurn(path, false);
    }

    /** Reads from the first entry host that responds with a status other than 404. */
    Either<CommandError, JsonNode> readFirstFound(String path) {
        return readInTurn(path, true);
    }

    private Either<CommandError, JsonNode> readInTurn(String path, boolean skipNotFound) {
        Either<CommandError, JsonNode> last = Either.left(unreachable());
        for (Endpoint endpoint : mEndpoints) {
            Try<AggregatedHttpResponse> response =
                    send(endpoint, RequestHeaders.of(HttpMethod.GET, path), "");
            if (response.isFailure()) {
                continue;
            }
            last = ResponseReader.queryResult(response.get());
            boolean notFound = last.isLeft() && last.getLeft().code() == ExitCode.NOT_FOUND;
            if (!skipNotFound || !notFound) {
                return last;
            }
        }
        return last;
    }

    /**
     * Sends a change to the first entry host that accepts a connection.
     *
     * <p>Another entry host is tried only if no byte of the change was sent, since a change that
     * was sent may have been applied.
     *
     * @return left if the change was sent and no response with its outcome was received
     */
    Either<Throwable, Either<CommandError, JsonNode>> change(RequestHeaders headers, String body) {
        for (Endpoint endpoint : mEndpoints) {
            Try<AggregatedHttpResponse> response = send(endpoint, headers, body);
            if (response.isSuccess()) {
                return ResponseReader.isJsonObject(response.get())
                        ? Either.right(ResponseReader.changeResult(response.get()))
                        : Either.left(
                                new IllegalStateException("status " + response.get().status()));
            }
            Throwable cause = Exceptions.peel(response.getCause());
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
                        .responseTimeout(RESPONSE_TIMEOUT)
                        .build();
        return Try.of(() -> client.execute(headers, body).aggregate().join());
    }

    private CommandError unreachable() {
        return CommandError.of(ExitCode.UNREACHABLE, "no entry host responded at " + mEndpoints);
    }
}
