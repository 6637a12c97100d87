package org.cyclamenpaddle.core.time;

/** Clock that moves only when told to, for seeded runs and tests. */
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
     * @param millis distance in milliseconds, not negative
     */
    public synchronized void advance(long millis) {
        if (millis < 0) {
            throw new IllegalArgumentException("clock cannot go back by " + millis + " ms");
        }
        mMillis += millis;
    }

    /**
     * Moves this clock forward to {@code millis}; a reading already passed is left as it is.
     *
     * @param millis the reading to reach, in milliseconds
     */
    public synchronized void advanceTo(long millis) {
        mMillis = Math.max(mMillis, millis);
    }
}
