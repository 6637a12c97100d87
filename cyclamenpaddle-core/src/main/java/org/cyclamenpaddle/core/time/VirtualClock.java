package org.cyclamenpaddle.core.time;

/** Manually advanced clock for simulations and tests. */
public final class VirtualClock implements Clock {

    private long mMillis;

    /**
     * Creates a clock that reads {@code startMillis}.
     *
     * @param startMillis first reading, in milliseconds
     */
    public VirtualClock(long startMillis) {
        mMillis = startMillis;
    }

    @Override
    public synchronized long millis() {
        return mMillis;
    }

    /**
     * Moves this clock forward.
     *
     * @param millis duration in milliseconds, not negative
     */
    public synchronized void advance(long millis) {
        if (millis < 0) {
            throw new IllegalArgumentException("clock cannot be advanced by " + millis + " ms");
        }
        mMillis += millis;
    }

    /**
     * Moves this clock forward to {@code millis}; does nothing if that reading has already passed.
     *
     * @param millis the reading to reach, in milliseconds
     */
    public synchronized void advanceTo(long millis) {
        mMillis = Math.max(mMillis, millis);
    }
}
