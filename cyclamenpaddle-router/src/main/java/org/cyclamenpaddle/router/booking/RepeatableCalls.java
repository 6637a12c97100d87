package org.cyclamenpaddle.router.booking;

import io.vavr.control.Either;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.cyclamenpaddle.core.config.BackendSpec;
import org.cyclamenpaddle.core.config.PlainCall;
import org.cyclamenpaddle.core.config.ServiceSpec;
import org.cyclamenpaddle.core.id.AttemptId;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.outcome.Refusal;
import org.cyclamenpaddle.core.outcome.RefusalReason;
import org.cyclamenpaddle.core.outcome.RetryReason;
import org.cyclamenpaddle.core.time.Clock;
import org.cyclamenpaddle.engine.plain.PlainRequest;
import org.cyclamenpaddle.engine.plain.PlainResult;
import org.cyclamenpaddle.engine.plain.PlainServiceClient;
import org.cyclamenpaddle.router.metric.RouterMetrics;
import org.cyclamenpaddle.routing.retry.RetryBudget;

/**
 * Runs repeatable calls of plain services: a failed call is retried on another instance, within the
 * retry budget.
 */
public final class RepeatableCalls {

    private static final int ATTEMPT_LIMIT = 3;

    private final PlainBackendSelector mSelector;
    private final PlainServiceClient mClient;
    private final Supplier<AttemptId> mNewAttempt;
    private final RetryBudget mBudget;
    private final RouterMetrics mMetrics;
    private final Clock mClock;
    private final AtomicInteger mInFlight = new AtomicInteger();

    /**
     * Creates an instance without calls.
     *
     * @param selector selects instances
     * @param client calls instances
     * @param newAttempt creates attempt ids
     * @param budget retry budget, guarded by its own monitor
     * @param metrics counters
     * @param clock time in milliseconds
     */
    public RepeatableCalls(
            PlainBackendSelector selector,
            PlainServiceClient client,
            Supplier<AttemptId> newAttempt,
            RetryBudget budget,
            RouterMetrics metrics,
            Clock clock) {
        mSelector = selector;
        mClient = client;
        mNewAttempt = newAttempt;
        mBudget = budget;
        mMetrics = metrics;
        mClock = clock;
    }

    /**
     * A repeatable call as parsed by the HTTP front end.
     *
     * @param service the plain service
     * @param call the declared call
     * @param pathAndQuery path and query below the service
     * @param contentType media type of the body, if given
     * @param body the body
     */
    public record RepeatableCall(
            ServiceSpec service,
            PlainCall call,
            String pathAndQuery,
            Optional<String> contentType,
            byte[] body) {}

    /** Starts a call; the future never completes exceptionally. */
    public CompletableFuture<Either<Refusal, PlainResult.Response>> start(RepeatableCall call) {
        synchronized (mBudget) {
            mBudget.recordRequest(call.service().name(), mClock.millis());
        }
        mInFlight.incrementAndGet();
        return attempt(call, mClock.millis() + call.call().timeoutMillis(), new HashSet<>())
                .whenComplete((response, failure) -> mInFlight.decrementAndGet());
    }

    /** Returns the number of in-flight calls. */
    public int pending() {
        return mInFlight.get();
    }

    private CompletableFuture<Either<Refusal, PlainResult.Response>> attempt(
            RepeatableCall call, long deadline, Set<BackendId> tried) {
        long left = deadline - mClock.millis();
        Optional<BackendSpec> chosen = mSelector.select(call.service().name(), tried);
        if (left <= 0 || chosen.isEmpty()) {
            RefusalReason reason =
                    left <= 0 ? RefusalReason.DEADLINE_PASSED : RefusalReason.NO_BACKEND;
            return refused(reason);
        }
        BackendSpec backend = chosen.get();
        tried.add(backend.id());
        mSelector.inFlight(backend.id(), 1);
        return mClient.call(backend, request(call, left))
                .thenCompose(result -> settle(call, deadline, tried, backend, result));
    }

    private PlainRequest request(RepeatableCall call, long timeoutMillis) {
        return new PlainRequest(
                mNewAttempt.get(),
                call.call().method(),
                call.pathAndQuery(),
                call.contentType(),
                call.body(),
                Optional.empty(),
                timeoutMillis);
    }

    private CompletableFuture<Either<Refusal, PlainResult.Response>> settle(
            RepeatableCall call,
            long deadline,
            Set<BackendId> tried,
            BackendSpec backend,
            PlainResult result) {
        mSelector.inFlight(backend.id(), -1);
        if (result instanceof PlainResult.Response answered) {
            return CompletableFuture.completedFuture(Either.right(answered));
        }
        if (result instanceof PlainResult.NothingSent) {
            mSelector.onUnreachable(backend.id());
        }
        if (tried.size() >= ATTEMPT_LIMIT || !takeRetry(call)) {
            return refused(RefusalReason.BACKEND_FAILED);
        }
        mMetrics.recordRetry(RetryReason.REPEATABLE_CALL_FAILED);
        return attempt(call, deadline, tried);
    }

    private boolean takeRetry(RepeatableCall call) {
        synchronized (mBudget) {
            return mBudget.tryAcquire(call.service().name(), mClock.millis());
        }
    }

    private static CompletableFuture<Either<Refusal, PlainResult.Response>> refused(
            RefusalReason reason) {
        return CompletableFuture.completedFuture(Either.left(Refusal.of(reason, "")));
    }
}
