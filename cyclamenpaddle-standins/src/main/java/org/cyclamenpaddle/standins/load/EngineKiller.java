package org.cyclamenpaddle.standins.load;

import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Crashes a random engine at a fixed interval; each restarts without state. */
final class EngineKiller {

    private static final long RESTART_MILLIS = 3_000;
    private static final double MICROS_PER_MILLI = 1_000;

    private final List<EngineProbe> mEngines;
    private final double mSpeed;
    private final UniformRandomProvider mRandom;
    private final AtomicLong mKills = new AtomicLong();

    EngineKiller(List<EngineProbe> engines, double speed, long seed) {
        mEngines = engines;
        mSpeed = speed;
        mRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(~seed);
    }

    /**
     * Starts crashing engines every {@code everyMillis} of modelled time, until executor shutdown.
     */
    void start(ScheduledExecutorService executor, long everyMillis) {
        long micros = (long) (everyMillis * MICROS_PER_MILLI / mSpeed);
        executor.scheduleAtFixedRate(this::kill, micros, micros, TimeUnit.MICROSECONDS);
    }

    long kills() {
        return mKills.get();
    }

    private void kill() {
        mKills.incrementAndGet();
        long restartMillis = (long) (RESTART_MILLIS / mSpeed);
        mEngines.get(mRandom.nextInt(mEngines.size())).crash(restartMillis);
    }
}
