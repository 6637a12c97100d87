package org.cyclamenpaddle.routing.reservation;

/**
 * Simulated requests of one route.
 *
 * @param priority priority; 0 is the highest
 * @param targetMillis target for the first event
 * @param perSecond requests per second outside of bursts
 * @param value value of a request in time
 * @param lateValue value of a request served late
 */
record RequestClass(
        int priority, long targetMillis, double perSecond, double value, double lateValue) {

    /** Silence after which callers abandon a stream, in targets, as the platform specifies it. */
    private static final int SILENCE_TARGETS = 4;

    CallerLimits limits() {
        return new CallerLimits(targetMillis, SILENCE_TARGETS * targetMillis);
    }
}
