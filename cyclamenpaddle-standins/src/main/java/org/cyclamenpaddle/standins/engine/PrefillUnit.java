package org.cyclamenpaddle.standins.engine;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.cyclamenpaddle.core.text.PromptText;

/** Prefill side of an engine: the queue, the serial computation and the results to export. */
final class PrefillUnit {

    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final Comparator<PrefillAttempt> SERVICE_ORDER =
            Comparator.<PrefillAttempt>comparingInt(attempt -> -attempt.request().priority())
                    .thenComparingLong(PrefillAttempt::sequence);

    private final EngineTimer mTimer;
    private final EngineSettings mSettings;
    private final KvMemory mMemory;
    private final PrefixCache mCache;
    private final SharedLink mLink;
    private final EngineCounters mCounters;
    private final EngineListener mListener;
    private final List<PrefillAttempt> mQueue = new ArrayList<>();
    private final Map<String, PrefillAttempt> mResults = new LinkedHashMap<>();
    private Optional<PrefillAttempt> mComputing = Optional.empty();
    private long mNextSequence;
    private int mStallTransfers;

    PrefillUnit(
            EngineTimer timer,
            EngineSettings settings,
            KvMemory memory,
            PrefixCache cache,
            EngineCounters counters,
            EngineListener listener) {
        mTimer = timer;
        mSettings = settings;
        mMemory = memory;
        mCache = cache;
        mLink = new SharedLink(timer, settings.linkBytesPerSecond());
        mCounters = counters;
        mListener = listener;
    }

    /** Queues a prefill request; {@code callback} runs when it is computed or rejected. */
    void submit(
            PrefillRequest request, Consumer<Either<EngineRejection, PrefillResponse>> callback) {
        if (!CompletionText.isPrefix(PromptText.hash(request.prompt()), request.prior())) {
            callback.accept(Either.left(EngineRejection.PRIOR_MISMATCH));
            return;
        }
        PrefillAttempt attempt = new PrefillAttempt(request, mNextSequence++, callback);
        if (!mMemory.tryAllocate(attempt.pieces())) {
            callback.accept(Either.left(EngineRejection.FULL));
            return;
        }
        mCounters.attempt();
        attempt.cached(mCache.cachedTokens(attempt.hashes()));
        mQueue.add(attempt);
        if (request.timeoutMillis() > 0) {
            long timeoutMicros = EngineModel.micros(mSettings.modelled(request.timeoutMillis()));
            mTimer.schedule(timeoutMicros, () -> rejectQueued(attempt, EngineRejection.FULL));
        }
        mListener.loadChanged();
        computeNext();
    }

    boolean contains(String attempt) {
        return live().anyMatch(a -> a.id().equals(attempt));
    }

    /** Cancels an attempt and releases its memory; no-op if unknown. */
    void cancel(String id) {
        mQueue.stream()
                .filter(attempt -> attempt.id().equals(id))
                .findFirst()
                .ifPresent(attempt -> rejectQueued(attempt, EngineRejection.CANCELLED));
        mComputing.filter(attempt -> attempt.id().equals(id)).ifPresent(this::cancelComputing);
        Optional.ofNullable(mResults.get(id)).ifPresent(this::evict);
    }

    /**
     * Starts the export of a result.
     *
     * @param id attempt id of the result
     * @param done runs when the last byte was transferred
     * @return aborts the export; empty if there is no such result
     */
    Optional<Runnable> export(String id, Consumer<KvCache> done) {
        return Optional.ofNullable(mResults.get(id)).map(attempt -> open(attempt, done));
    }

    void stallTransfers(int transfers) {
        mStallTransfers = transfers;
    }

    long queuedTokens() {
        return Stream.concat(mQueue.stream(), mComputing.stream())
                .mapToLong(PrefillAttempt::uncachedTokens)
                .sum();
    }

    Stream<PrefillAttempt> live() {
        return Stream.of(mQueue.stream(), mComputing.stream(), mResults.values().stream())
                .flatMap(attempts -> attempts);
    }

    private void computeNext() {
        if (mComputing.isPresent() || mQueue.isEmpty()) {
            return;
        }
        PrefillAttempt next = mQueue.stream().min(SERVICE_ORDER).orElseThrow();
        mQueue.remove(next);
        mComputing = Optional.of(next);
        next.cached(mCache.cachedTokens(next.hashes()));
        next.start(mTimer.micros());
        if (EngineModel.crashes(next.request().prompt())) {
            mListener.crashed();
            return;
        }
        mTimer.schedule(costMicros(next), () -> computed(next));
    }

    private long costMicros(PrefillAttempt attempt) {
        long tokensMicros =
                attempt.uncachedTokens() * MICROS_PER_SECOND / mSettings.prefillTokensPerSecond();
        return EngineModel.micros(mSettings.prefillBaseMillis()) + tokensMicros;
    }

    private void computed(PrefillAttempt attempt) {
        if (mComputing.filter(attempt::equals).isEmpty()) {
            return;
        }
        mComputing = Optional.empty();
        mCounters.prefilled(attempt.uncachedTokens());
        mCache.store(attempt.hashes());
        mResults.put(attempt.id(), attempt);
        scheduleEviction(attempt, EngineModel.micros(mSettings.resultMillis()));
        attempt.complete(
                Either.right(
                        new PrefillResponse(
                                attempt.id(),
                                attempt.tokens(),
                                attempt.cachedTokens(),
                                attempt.pieces(),
                                mSettings.machine(mSettings.resultMillis()))));
        mListener.loadChanged();
        computeNext();
    }

    private void rejectQueued(PrefillAttempt attempt, EngineRejection reason) {
        if (mQueue.remove(attempt)) {
            release(attempt);
            attempt.complete(Either.left(reason));
        }
    }

    private void cancelComputing(PrefillAttempt attempt) {
        mComputing = Optional.empty();
        double share = (mTimer.micros() - attempt.startMicros()) / (double) costMicros(attempt);
        long done = (long) (Math.min(1.0, share) * attempt.uncachedTokens());
        mCounters.prefilled(done);
        mCounters.wasted(done);
        release(attempt);
        attempt.complete(Either.left(EngineRejection.CANCELLED));
        computeNext();
    }

    private void scheduleEviction(PrefillAttempt attempt, long timeToLiveMicros) {
        attempt.setTimeToLive(mTimer.micros(), timeToLiveMicros);
        mTimer.schedule(timeToLiveMicros, () -> evictIfExpired(attempt));
    }

    private void evictIfExpired(PrefillAttempt attempt) {
        if (mResults.get(attempt.id()) == attempt && attempt.expired(mTimer.micros())) {
            evict(attempt);
        }
    }

    private void evict(PrefillAttempt attempt) {
        mResults.remove(attempt.id());
        mCounters.wasted(attempt.uncachedTokens());
        release(attempt);
    }

    private void release(PrefillAttempt attempt) {
        mMemory.release(attempt.pieces());
        mListener.loadChanged();
    }

    private Runnable open(PrefillAttempt attempt, Consumer<KvCache> done) {
        attempt.exportOpened(mTimer.micros());
        if (mStallTransfers > 0) {
            mStallTransfers--;
            return () -> abort(attempt);
        }
        KvCache cache = kvCache(attempt);
        SharedLink.Transfer transfer =
                mLink.start(cache.bytes(), () -> exported(attempt, cache, done));
        return () -> {
            mLink.cancel(transfer);
            abort(attempt);
        };
    }

    private void exported(PrefillAttempt attempt, KvCache cache, Consumer<KvCache> done) {
        if (mResults.remove(attempt.id(), attempt)) {
            release(attempt);
        }
        done.accept(cache);
    }

    private void abort(PrefillAttempt attempt) {
        long timeToLiveMicros = attempt.exportClosed();
        if (timeToLiveMicros >= 0 && mResults.get(attempt.id()) == attempt) {
            scheduleEviction(attempt, timeToLiveMicros);
        }
    }

    private KvCache kvCache(PrefillAttempt attempt) {
        String prompt = attempt.request().prompt();
        long bytes = attempt.tokens() * mSettings.kvBytesPerToken();
        return new KvCache(
                PromptText.hash(prompt),
                attempt.tokens(),
                bytes,
                EngineModel.crashesDecode(prompt));
    }
}
