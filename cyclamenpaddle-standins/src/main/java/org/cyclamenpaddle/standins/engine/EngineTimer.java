package org.cyclamenpaddle.standins.engine;

/**
 * Time and scheduling of one engine model, in modelled time.
 *
 * <p>Tasks run one at a time, so the model needs no locks.
 */
interface EngineTimer {

    /** Returns the modelled microseconds passed since the timer's origin. */
    long micros();

    /** Runs {@code task} after {@code delayMicros} of modelled time. */
    void schedule(long delayMicros, Runnable task);
}
