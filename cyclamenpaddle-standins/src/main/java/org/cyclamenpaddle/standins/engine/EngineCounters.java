package org.cyclamenpaddle.standins.engine;

import java.util.concurrent.atomic.AtomicLong;

/** Counters of an engine since its stand-in was created; not reset by a crash. Thread-safe. */
final class EngineCounters {

    private final AtomicLong mPrefilledTokens = new AtomicLong();
    private final AtomicLong mWastedTokens = new AtomicLong();
    private final AtomicLong mAttempts = new AtomicLong();
    private final AtomicLong mGeneratedTokens = new AtomicLong();
    private final AtomicLong mCutOff = new AtomicLong();
    private final AtomicLong mCrashes = new AtomicLong();

    void prefilled(long tokens) {
        mPrefilledTokens.addAndGet(tokens);
    }

    void wasted(long tokens) {
        mWastedTokens.addAndGet(tokens);
    }

    void attempt() {
        mAttempts.incrementAndGet();
    }

    void generated() {
        mGeneratedTokens.incrementAndGet();
    }

    void cutOff(long attempts) {
        mCutOff.addAndGet(attempts);
    }

    void crashed() {
        mCrashes.incrementAndGet();
    }

    EngineCounts counts() {
        return new EngineCounts(
                mPrefilledTokens.get(),
                mWastedTokens.get(),
                mAttempts.get(),
                mGeneratedTokens.get(),
                mCutOff.get(),
                mCrashes.get());
    }
}
