package org.cyclamenpaddle.core.time;

import java.util.concurrent.TimeUnit;

/** Clock based on {@link System#nanoTime()}, unaffected by adjustments of the wall clock. */
public final class MonotonicClock implements Clock {

    private final long mOrigin = System.nanoTime();

    @Override
    public long millis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - mOrigin);
    }
}
