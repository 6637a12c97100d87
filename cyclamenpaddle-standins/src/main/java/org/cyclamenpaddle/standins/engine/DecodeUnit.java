package org.cyclamenpaddle.standins.engine;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.cyclamenpaddle.core.config.BackendSpec;

/** Decode slots: imports, the running batch, and the events of ended attempts. */
final class DecodeUnit {

    private final EngineTimer mTimer;
    private final EngineSettings mSettings;
    private final MemoryPieces mMemory;
    private final KvFetcher mFetcher;
    private final EngineCounters mCounters;
    private final EngineSignals mSignals;
    private final Map<String, DecodeAttempt> mAttempts = new LinkedHashMap<>();
    private final Map<DecodeAttempt, KvCache> mWaiting = new LinkedHashMap<>();
    private final List<DecodeAttempt> mJoining = new ArrayList<>();
    private final List<DecodeAttempt> mRunning = new ArrayList<>();
    private boolean mStepping;

    DecodeUnit(
            EngineTimer timer,
            EngineSettings settings,
            MemoryPieces memory,
            KvFetcher fetcher,
            EngineCounters counters,
            EngineSignals signals) {
        mTimer = timer;
        mSettings = settings;
        mMemory = memory;
        mFetcher = fetcher;
        mCounters = counters;
        mSignals = signals;
    }

    /** Takes a decode and starts its import, or refuses it. */
    Either<EngineRefusal, DecodeAttempt> submit(DecodeAsk ask) {
        if (slotsUsed() >= mSettings.slots() || mMemory.used() >= mMemory.limit()) {
            return Either.left(EngineRefusal.FULL);
        }
        DecodeAttempt attempt = new DecodeAttempt(ask);
        mAttempts.put(ask.attempt(), attempt);
        mCounters.attempt();
        attempt.fetching(mFetcher.fetch(ask.source(), result -> fetched(attempt, result)));
        long transferMicros = EngineModel.micros(mSettings.modelled(ask.transferMillis()));
        mTimer.schedule(transferMicros, () -> checkTransfer(attempt));
        mSignals.changed();
        return Either.right(attempt);
    }

    Optional<DecodeAttempt> find(String id) {
        return Optional.ofNullable(mAttempts.get(id));
    }

    /** Frees everything that an attempt holds; does nothing for an unknown or ended one. */
    void cancel(String id) {
        find(id).ifPresent(attempt -> fail(attempt, "cancelled"));
    }

    int slotsUsed() {
        return Math.toIntExact(live().count());
    }

    Stream<DecodeAttempt> live() {
        return mAttempts.values().stream().filter(attempt -> !attempt.ended());
    }

    Stream<DecodeAttempt> known() {
        return mAttempts.values().stream();
    }

    private void fetched(DecodeAttempt attempt, Either<String, KvCache> result) {
        if (attempt.ended()) {
            return;
        }
        result.peekLeft(reason -> fail(attempt, reason));
        result.peek(cache -> take(attempt, cache));
    }

    private void take(DecodeAttempt attempt, KvCache cache) {
        int more = attempt.ask().maxTokens() - attempt.ask().firstIndex();
        int pieces = BackendSpec.piecesFor(cache.tokens() + more);
        if (!mMemory.take(pieces)) {
            mWaiting.put(attempt, cache);
            return;
        }
        attempt.hold(pieces);
        attempt.fetching(() -> {});
        if (cache.crashes()) {
            mSignals.crash();
            return;
        }
        attempt.imported(cache);
        mJoining.add(attempt);
        mSignals.changed();
        startBatch();
    }

    private void retryWaiting() {
        Map<DecodeAttempt, KvCache> waiting = new LinkedHashMap<>(mWaiting);
        mWaiting.clear();
        waiting.forEach(this::take);
    }

    private void checkTransfer(DecodeAttempt attempt) {
        if (!attempt.ended() && attempt.cache().isEmpty()) {
            fail(attempt, "transfer-stalled");
        }
    }

    private void fail(DecodeAttempt attempt, String reason) {
        if (attempt.ended()) {
            return;
        }
        attempt.abortFetch();
        mWaiting.remove(attempt);
        mJoining.remove(attempt);
        mRunning.remove(attempt);
        attempt.finish(new EngineEvent.Failed(reason));
        release(attempt);
    }

    private void release(DecodeAttempt attempt) {
        mMemory.release(attempt.pieces());
        attempt.hold(0);
        long keepMicros = EngineModel.micros(mSettings.keepMillis());
        mTimer.schedule(keepMicros, () -> mAttempts.remove(attempt.id(), attempt));
        mSignals.changed();
        retryWaiting();
    }

    private void startBatch() {
        if (mStepping || mJoining.isEmpty() && mRunning.isEmpty()) {
            return;
        }
        mStepping = true;
        mRunning.addAll(mJoining);
        mJoining.clear();
        mTimer.schedule(stepMicros(mRunning.size()), this::step);
    }

    private long stepMicros(int batch) {
        return (long) (EngineModel.micros(1) * mSettings.stepMillis(batch));
    }

    private void step() {
        mStepping = false;
        List<DecodeAttempt> batch = List.copyOf(mRunning);
        batch.forEach(attempt -> attempt.step(mSettings.answerTokens()));
        batch.forEach(attempt -> mCounters.generated());
        List<DecodeAttempt> ended =
                batch.stream().filter(DecodeAttempt::ended).collect(Collectors.toList());
        mRunning.removeAll(ended);
        ended.forEach(this::release);
        startBatch();
    }
}
