package org.cyclamenpaddle.standins.engine;

/**
 * Clock and scheduler of an engine model, in modelled time.
 *
 * <p>Tasks run sequentially, so the model needs no locks.
 */
interface EngineTimer {

    /** Returns the modelled microseconds since the timer's origin. */
    long micros();

    /** Schedules a task after a delay in modelled microseconds. */
    void schedule(long delayMicros, Runnable task);
}
