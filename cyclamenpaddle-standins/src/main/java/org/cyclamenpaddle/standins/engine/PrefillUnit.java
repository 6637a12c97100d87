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

/** Serial prefill computation, its queue, and the results that wait for export. */
final class PrefillUnit {

    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final Comparator<PrefillAttempt> SERVICE_ORDER =
            Comparator.<PrefillAttempt>comparingInt(attempt -> -attempt.ask().priority())
                    .thenComparingLong(PrefillAttempt::order);

    private final EngineTimer mTimer;
    private final EngineSettings mSettings;
    private final MemoryPieces mMemory;
    private final PrefixCache mCache;
    private final SharedLink mLink;
    private final EngineCounters mCounters;
    private final EngineSignals mSignals;
    private final List<PrefillAttempt> mQueue = new ArrayList<>();
    private final Map<String, PrefillAttempt> mResults = new LinkedHashMap<>();
    private Optional<PrefillAttempt> mComputing = Optional.empty();
    private long mOrder;
    private int mStallTransfers;

    PrefillUnit(
            EngineTimer timer,
            EngineSettings settings,
            MemoryPieces memory,
            PrefixCache cache,
            EngineCounters counters,
            EngineSignals signals) {
        mTimer = timer;
        mSettings = settings;
        mMemory = memory;
        mCache = cache;
        mLink = new SharedLink(timer, settings.linkBytesPerSecond());
        mCounters = counters;
        mSignals = signals;
    }

    /** Takes a prefill; {@code answer} runs when it is computed or refused. */
    void submit(PrefillAsk ask, Consumer<Either<EngineRefusal, PrefillDone>> answer) {
        if (!CompletionText.begins(PromptText.hash(ask.prompt()), ask.prior())) {
            answer.accept(Either.left(EngineRefusal.PRIOR_MISMATCH));
            return;
        }
        PrefillAttempt attempt = new PrefillAttempt(ask, mOrder++, answer);
        if (!mMemory.take(attempt.pieces())) {
            answer.accept(Either.left(EngineRefusal.FULL));
            return;
        }
        mCounters.attempt();
        attempt.cached(mCache.cachedTokens(attempt.hashes()));
        mQueue.add(attempt);
        if (ask.timeoutMillis() > 0) {
            long timeoutMicros = EngineModel.micros(mSettings.modelled(ask.timeoutMillis()));
            mTimer.schedule(timeoutMicros, () -> dropQueued(attempt, EngineRefusal.FULL));
        }
        mSignals.changed();
        computeNext();
    }

    boolean knows(String attempt) {
        return live().anyMatch(a -> a.id().equals(attempt));
    }

    /** Frees everything that an attempt holds; does nothing for an unknown one. */
    void cancel(String id) {
        mQueue.stream()
                .filter(attempt -> attempt.id().equals(id))
                .findFirst()
                .ifPresent(attempt -> dropQueued(attempt, EngineRefusal.CANCELLED));
        mComputing.filter(attempt -> attempt.id().equals(id)).ifPresent(this::abandonComputing);
        Optional.ofNullable(mResults.get(id)).ifPresent(this::waste);
    }

    /**
     * Starts the export of a result.
     *
     * @param id attempt of the result
     * @param done runs when the last byte has passed
     * @return how to abort the export; empty if there is no such result
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
        if (EngineModel.crashes(next.ask().prompt())) {
            mSignals.crash();
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
        keep(attempt, EngineModel.micros(mSettings.resultMillis()));
        attempt.answer(
                Either.right(
                        new PrefillDone(
                                attempt.id(),
                                attempt.tokens(),
                                attempt.cachedTokens(),
                                attempt.pieces(),
                                mSettings.machine(mSettings.resultMillis()))));
        mSignals.changed();
        computeNext();
    }

    private void dropQueued(PrefillAttempt attempt, EngineRefusal reason) {
        if (mQueue.remove(attempt)) {
            release(attempt);
            attempt.answer(Either.left(reason));
        }
    }

    private void abandonComputing(PrefillAttempt attempt) {
        mComputing = Optional.empty();
        double share = (mTimer.micros() - attempt.startMicros()) / (double) costMicros(attempt);
        long done = (long) (Math.min(1.0, share) * attempt.uncachedTokens());
        mCounters.prefilled(done);
        mCounters.wasted(done);
        release(attempt);
        attempt.answer(Either.left(EngineRefusal.CANCELLED));
        computeNext();
    }

    private void keep(PrefillAttempt attempt, long lifeMicros) {
        attempt.live(mTimer.micros(), lifeMicros);
        mTimer.schedule(lifeMicros, () -> evictIfDue(attempt));
    }

    private void evictIfDue(PrefillAttempt attempt) {
        if (mResults.get(attempt.id()) == attempt && attempt.due(mTimer.micros())) {
            waste(attempt);
        }
    }

    private void waste(PrefillAttempt attempt) {
        mResults.remove(attempt.id());
        mCounters.wasted(attempt.uncachedTokens());
        release(attempt);
    }

    private void release(PrefillAttempt attempt) {
        mMemory.release(attempt.pieces());
        mSignals.changed();
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
            mLink.stop(transfer);
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
        long lifeMicros = attempt.exportClosed();
        if (lifeMicros >= 0 && mResults.get(attempt.id()) == attempt) {
            keep(attempt, lifeMicros);
        }
    }

    private KvCache kvCache(PrefillAttempt attempt) {
        String prompt = attempt.ask().prompt();
        long bytes = attempt.tokens() * mSettings.kvBytesPerToken();
        return new KvCache(
                PromptText.hash(prompt),
                attempt.tokens(),
                bytes,
                EngineModel.crashesDecode(prompt));
    }
}
