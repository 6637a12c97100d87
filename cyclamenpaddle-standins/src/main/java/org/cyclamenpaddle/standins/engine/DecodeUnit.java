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

/** Decode side of an engine: KV cache imports, the running batch and recently ended attempts. */
final class DecodeUnit {

    private final EngineTimer mTimer;
    private final EngineSettings mSettings;
    private final KvMemory mMemory;
    private final KvFetcher mFetcher;
    private final EngineCounters mCounters;
    private final EngineListener mListener;
    private final Map<String, DecodeAttempt> mAttempts = new LinkedHashMap<>();
    private final Map<DecodeAttempt, KvCache> mAwaitingMemory = new LinkedHashMap<>();
    private final List<DecodeAttempt> mJoining = new ArrayList<>();
    private final List<DecodeAttempt> mRunning = new ArrayList<>();
    private boolean mStepping;

    DecodeUnit(
            EngineTimer timer,
            EngineSettings settings,
            KvMemory memory,
            KvFetcher fetcher,
            EngineCounters counters,
            EngineListener listener) {
        mTimer = timer;
        mSettings = settings;
        mMemory = memory;
        mFetcher = fetcher;
        mCounters = counters;
        mListener = listener;
    }

    /** Admits a decode request and starts its KV cache transfer, or rejects the request. */
    Either<EngineRejection, DecodeAttempt> submit(DecodeRequest request) {
        if (slotsUsed() >= mSettings.slots() || mMemory.used() >= mMemory.capacity()) {
            return Either.left(EngineRejection.FULL);
        }
        DecodeAttempt attempt = new DecodeAttempt(request);
        mAttempts.put(request.attempt(), attempt);
        mCounters.attempt();
        attempt.setAbortFetch(mFetcher.fetch(request.source(), result -> fetched(attempt, result)));
        long transferMicros = EngineModel.micros(mSettings.modelled(request.transferMillis()));
        mTimer.schedule(transferMicros, () -> checkTransfer(attempt));
        mListener.loadChanged();
        return Either.right(attempt);
    }

    Optional<DecodeAttempt> find(String id) {
        return Optional.ofNullable(mAttempts.get(id));
    }

    /** Cancels an attempt and releases its slot and memory; no-op if unknown or ended. */
    void cancel(String id) {
        find(id).ifPresent(attempt -> fail(attempt, "cancelled"));
    }

    int slotsUsed() {
        return Math.toIntExact(live().count());
    }

    Stream<DecodeAttempt> live() {
        return mAttempts.values().stream().filter(attempt -> !attempt.ended());
    }

    Stream<DecodeAttempt> retained() {
        return mAttempts.values().stream();
    }

    private void fetched(DecodeAttempt attempt, Either<String, KvCache> result) {
        if (attempt.ended()) {
            return;
        }
        result.peekLeft(reason -> fail(attempt, reason));
        result.peek(cache -> importCache(attempt, cache));
    }

    private void importCache(DecodeAttempt attempt, KvCache cache) {
        int newTokens = attempt.request().maxTokens() - attempt.request().firstIndex();
        int pieces = BackendSpec.piecesFor(cache.tokens() + newTokens);
        if (!mMemory.tryAllocate(pieces)) {
            mAwaitingMemory.put(attempt, cache);
            return;
        }
        attempt.setPieces(pieces);
        attempt.setAbortFetch(() -> {});
        if (cache.crashes()) {
            mListener.crashed();
            return;
        }
        attempt.imported(cache);
        mJoining.add(attempt);
        mListener.loadChanged();
        startBatch();
    }

    private void retryAwaitingMemory() {
        Map<DecodeAttempt, KvCache> waiting = new LinkedHashMap<>(mAwaitingMemory);
        mAwaitingMemory.clear();
        waiting.forEach(this::importCache);
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
        mAwaitingMemory.remove(attempt);
        mJoining.remove(attempt);
        mRunning.remove(attempt);
        attempt.finish(new EngineEvent.Failed(reason));
        release(attempt);
    }

    private void release(DecodeAttempt attempt) {
        mMemory.release(attempt.pieces());
        attempt.setPieces(0);
        long retentionMicros = EngineModel.micros(mSettings.keepMillis());
        mTimer.schedule(retentionMicros, () -> mAttempts.remove(attempt.id(), attempt));
        mListener.loadChanged();
        retryAwaitingMemory();
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
