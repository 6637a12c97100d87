package org.cyclamenpaddle.standins.engine;

import java.util.ArrayDeque;
import java.util.Deque;

/** Publishes the load with a fixed delay. */
final class LaggedLoad {

    private final EngineTimer mTimer;
    private final Deque<Sample> mSamples = new ArrayDeque<>();
    private long mLagMicros;
    private EngineLoad mPublished;

    LaggedLoad(EngineTimer timer, long lagMicros, EngineLoad initial) {
        mTimer = timer;
        mLagMicros = lagMicros;
        mPublished = initial;
    }

    private record Sample(long micros, EngineLoad load) {}

    void record(EngineLoad load) {
        publish();
        mSamples.addLast(new Sample(mTimer.micros(), load));
    }

    EngineLoad published() {
        publish();
        return mPublished;
    }

    void lag(long micros) {
        mLagMicros = micros;
    }

    private void publish() {
        long until = mTimer.micros() - mLagMicros;
        while (!mSamples.isEmpty() && mSamples.peekFirst().micros() <= until) {
            mPublished = mSamples.removeFirst().load();
        }
    }
}
