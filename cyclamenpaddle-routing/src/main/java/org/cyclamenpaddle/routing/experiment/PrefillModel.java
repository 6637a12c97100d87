package org.cyclamenpaddle.routing.experiment;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.cyclamenpaddle.core.config.BackendRole;
import org.cyclamenpaddle.core.config.BackendSpec;
import org.cyclamenpaddle.core.id.AttemptId;
import org.cyclamenpaddle.core.text.PromptText;
import org.cyclamenpaddle.routing.grant.ObservedAttempt;

/** Timing model of a prefill engine: serial compute, results that are evicted, a serial link. */
final class PrefillModel {

    /** Time after which a result is evicted. */
    static final long RESULT_RETENTION_MILLIS = 800;

    private static final int CACHED_BLOCKS = 64;
    private static final double MAX_TIME_FACTOR = 1.25;
    private static final double MIN_TIME_FACTOR = 0.9;

    /** A prefill and its completion callback. */
    record Job(AttemptId attempt, Workload.Request request, Consumer<Job> whenComputed) {}

    private final EventLoop mLoop;
    private final BackendSpec mSpec;
    private final UniformRandomProvider mRandom;
    private final Deque<Job> mQueue = new ArrayDeque<>();
    private final Map<AttemptId, Long> mResults = new HashMap<>();
    private final Map<AttemptId, Integer> mTokens = new HashMap<>();
    private final Consumer<List<Long>> mWhenCached;
    private final Map<Long, Boolean> mCache =
            new LinkedHashMap<>(16, 0.75f, true) {
                @Override
                protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
                    return size() > CACHED_BLOCKS;
                }
            };

    private Job mComputing;
    private long mLinkFreeAt;
    private long mComputedTokens;
    private long mUsedTokens;

    PrefillModel(
            EventLoop loop,
            BackendSpec spec,
            UniformRandomProvider random,
            Consumer<List<Long>> whenCached) {
        mLoop = loop;
        mSpec = spec;
        mRandom = random;
        mWhenCached = whenCached;
    }

    BackendSpec spec() {
        return mSpec;
    }

    long computedTokens() {
        return mComputedTokens;
    }

    long usedTokens() {
        return mUsedTokens;
    }

    void prefill(Job job) {
        mQueue.add(job);
        computeNext();
    }

    /** Removes a queued job, or its result. */
    void cancel(AttemptId attempt) {
        mQueue.removeIf(job -> job.attempt().equals(attempt));
        mResults.remove(attempt);
    }

    boolean holds(AttemptId attempt) {
        Long expiresAt = mResults.get(attempt);
        return expiresAt != null && expiresAt > mLoop.now();
    }

    /** Transfers the result over the link and returns how long that takes, queueing included. */
    long exportMillis(AttemptId attempt, long bytes) {
        long work = bytes * 1_000 / mSpec.linkBytesPerSecond();
        mLinkFreeAt = Math.max(mLinkFreeAt, mLoop.now()) + work;
        mResults.remove(attempt);
        mUsedTokens += mTokens.remove(attempt);
        return mLinkFreeAt - mLoop.now();
    }

    long queuedMillis() {
        long tokens = mQueue.stream().mapToLong(job -> job.request().promptTokens()).sum();
        long running = mComputing == null ? 0 : mComputing.request().promptTokens() / 2;
        return (tokens + running) * 1_000 / mSpec.prefillTokensPerSecond();
    }

    List<ObservedAttempt> attempts() {
        List<ObservedAttempt> observed = new ArrayList<>();
        mQueue.forEach(job -> observed.add(observed(job.attempt())));
        if (mComputing != null) {
            observed.add(observed(mComputing.attempt()));
        }
        mResults.keySet().stream().sorted().forEach(attempt -> observed.add(observed(attempt)));
        return observed;
    }

    private void computeNext() {
        if (mComputing != null || mQueue.isEmpty()) {
            return;
        }
        mComputing = mQueue.poll();
        Workload.Request request = mComputing.request();
        int tokens = request.promptTokens() - cachedTokens(request.blockHashes());
        mComputedTokens += tokens;
        mTokens.put(mComputing.attempt(), tokens);
        double timeFactor =
                MIN_TIME_FACTOR + (MAX_TIME_FACTOR - MIN_TIME_FACTOR) * mRandom.nextDouble();
        long work = Math.round(timeFactor * tokens * 1_000 / mSpec.prefillTokensPerSecond());
        mLoop.after(work, this::computed);
    }

    private void computed() {
        Job done = mComputing;
        mComputing = null;
        mResults.put(done.attempt(), mLoop.now() + RESULT_RETENTION_MILLIS);
        mLoop.after(RESULT_RETENTION_MILLIS, () -> mResults.remove(done.attempt()));
        done.request().blockHashes().forEach(hash -> mCache.put(hash, true));
        mWhenCached.accept(done.request().blockHashes());
        done.whenComputed().accept(done);
        computeNext();
    }

    private int cachedTokens(List<Long> hashes) {
        int blocks = 0;
        while (blocks < hashes.size() && mCache.containsKey(hashes.get(blocks))) {
            blocks++;
        }
        return blocks * PromptText.TOKENS_PER_BLOCK;
    }

    private static ObservedAttempt observed(AttemptId attempt) {
        return new ObservedAttempt(attempt, BackendRole.PREFILL, 1, false);
    }
}
