package org.cyclamenpaddle.routing.reservation;

import java.util.Collection;

/**
 * Urgency of a request among the requests of its service.
 *
 * <p>Only the order of priorities matters, not their distance: a configuration with the priorities
 * 0, 10 and 100 is served like one with 0, 1 and 2.
 *
 * @param priority priority of the request; 0 is the highest
 * @param moreUrgent number of distinct higher priorities in its service
 * @param lessUrgent number of distinct lower priorities in its service
 */
public record Urgency(int priority, int moreUrgent, int lessUrgent) {

    /** Urgency of a request whose service has one priority. */
    public static final Urgency EQUAL = new Urgency(0, 0, 0);

    /** Position among the priorities of a service; bounded, for use as a metric label. */
    public enum Level {
        /** All requests have the same priority. */
        EQUAL,
        /** No other priority is higher. */
        HIGHEST,
        /** Others are higher and others are lower. */
        MIDDLE,
        /** No other priority is lower. */
        LOWEST
    }

    public Urgency {
        if (moreUrgent < 0 || lessUrgent < 0) {
            throw new IllegalArgumentException(
                    "negative number of priorities: "
                            + moreUrgent
                            + " higher and "
                            + lessUrgent
                            + " lower");
        }
    }

    /**
     * Returns the urgency of a request.
     *
     * @param priority its priority
     * @param servicePriorities priorities of the routes of its service, in any order
     */
    public static Urgency of(int priority, Collection<Integer> servicePriorities) {
        return new Urgency(
                priority,
                (int) servicePriorities.stream().distinct().filter(any -> any < priority).count(),
                (int) servicePriorities.stream().distinct().filter(any -> any > priority).count());
    }

    /** Returns the position among the priorities of the service. */
    public Level level() {
        if (moreUrgent == 0) {
            return lessUrgent == 0 ? Level.EQUAL : Level.HIGHEST;
        }
        return lessUrgent == 0 ? Level.LOWEST : Level.MIDDLE;
    }
}
