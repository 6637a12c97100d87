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

/** Calls that may be repeated: tried on another instance after a failure, within the budget. */
public final class RepeatableCalls {

    private static final int MOST_TRIES = 3;

    private final PlainBackendSelector mChoice;
    private final PlainServiceClient mClient;
    private final Supplier<AttemptId> mNewAttempt;
    private final RetryBudget mBudget;
    private final RouterMetrics mMetrics;
    private final Clock mClock;
    private final AtomicInteger mOpen = new AtomicInteger();

    /**
     * Creates the calls.
     *
     * @param choice chooses instances
     * @param client calls them
     * @param newAttempt makes attempt ids
     * @param budget retries, locked by its own monitor
     * @param metrics counters
     * @param clock time in milliseconds
     */
    public RepeatableCalls(
            PlainBackendSelector choice,
            PlainServiceClient client,
            Supplier<AttemptId> newAttempt,
            RetryBudget budget,
            RouterMetrics metrics,
            Clock clock) {
        mChoice = choice;
        mClient = client;
        mNewAttempt = newAttempt;
        mBudget = budget;
        mMetrics = metrics;
        mClock = clock;
    }

    /**
     * A repeatable call as the front parsed it.
     *
     * @param service the plain service
     * @param call the declared call
     * @param pathAndQuery path and query below the service
     * @param contentType media type of the body, if said
     * @param body the body
     */
    public record RepeatableCall(
            ServiceSpec service,
            PlainCall call,
            String pathAndQuery,
            Optional<String> contentType,
            byte[] body) {}

    /** Makes a call; the future never fails. */
    public CompletableFuture<Either<Refusal, PlainResult.Response>> start(RepeatableCall call) {
        synchronized (mBudget) {
            mBudget.recordRequest(call.service().name(), mClock.millis());
        }
        mOpen.incrementAndGet();
        return attempt(call, mClock.millis() + call.call().timeoutMillis(), new HashSet<>())
                .whenComplete((answer, failure) -> mOpen.decrementAndGet());
    }

    /** Returns calls without an answer. */
    public int pending() {
        return mOpen.get();
    }

    private CompletableFuture<Either<Refusal, PlainResult.Response>> attempt(
            RepeatableCall call, long deadline, Set<BackendId> tried) {
        long left = deadline - mClock.millis();
        Optional<BackendSpec> chosen = mChoice.select(call.service().name(), tried);
        if (left <= 0 || chosen.isEmpty()) {
            RefusalReason reason =
                    left <= 0 ? RefusalReason.DEADLINE_PASSED : RefusalReason.NO_BACKEND;
            return refused(reason);
        }
        BackendSpec backend = chosen.get();
        tried.add(backend.id());
        mChoice.inFlight(backend.id(), 1);
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
        mChoice.inFlight(backend.id(), -1);
        if (result instanceof PlainResult.Response answered) {
            return CompletableFuture.completedFuture(Either.right(answered));
        }
        if (result instanceof PlainResult.NothingSent) {
            mChoice.onUnreachable(backend.id());
        }
        if (tried.size() >= MOST_TRIES || !takeRetry(call)) {
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
