package org.cyclamenpaddle.relay.quota;

/** Runs tasks after a time. */
@FunctionalInterface
interface DelayedTasks {

    /** Runs a task after a time, on any thread; not at all while the process stops. */
    void run(Runnable task, long delayMillis);
}
