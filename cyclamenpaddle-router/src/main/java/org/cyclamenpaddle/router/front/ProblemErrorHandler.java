package org.cyclamenpaddle.router.front;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.annotation.Nullable;
import com.linecorp.armeria.server.HttpStatusException;
import com.linecorp.armeria.server.ServerErrorHandler;
import com.linecorp.armeria.server.ServiceConfig;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.util.function.Consumer;
import org.cyclamenpaddle.core.outcome.RefusalReason;
import org.cyclamenpaddle.router.problem.Problem;

/**
 * Renders errors raised by the HTTP library itself as problem documents, as every other refusal.
 */
public final class ProblemErrorHandler implements ServerErrorHandler {

    private final Consumer<RefusalReason> mCounter;

    /**
     * Creates the handler.
     *
     * @param counter counts each refusal
     */
    public ProblemErrorHandler(Consumer<RefusalReason> counter) {
        mCounter = counter;
    }

    @Override
    @Nullable
    public HttpResponse onServiceException(ServiceRequestContext context, Throwable cause) {
        if (cause instanceof HttpStatusException status) {
            return problem(status.httpStatus(), context.path()).response();
        }
        return null;
    }

    @Override
    @Nullable
    public AggregatedHttpResponse onProtocolViolation(
            ServiceConfig config,
            @Nullable RequestHeaders headers,
            HttpStatus status,
            @Nullable String description,
            @Nullable Throwable cause) {
        return problem(status, String.valueOf(description)).aggregated();
    }

    private Problem problem(HttpStatus status, String detail) {
        RefusalReason reason =
                switch (status.code()) {
                    case 404, 405 -> RefusalReason.UNKNOWN_CALL;
                    case 413 -> RefusalReason.BODY_TOO_LONG;
                    default -> RefusalReason.BAD_BODY;
                };
        mCounter.accept(reason);
        return Problem.of(reason, "HTTP " + status.code() + ": " + detail);
    }
}
