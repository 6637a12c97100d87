package org.cyclamenpaddle.routing.place;

import java.util.HashMap;
import java.util.Map;

/**
 * Tells requests of their first time from those that come back after a refusal.
 *
 * <p>A caller says how long it will still wait. That is nearly the longest wait of its route the
 * first time, and less by what it spent when it comes back. The longest wait is learned, since
 * callers differ and the configuration does not state it. Not thread-safe.
 */
public final class CallerWaits {

    /**
     * Share of a route's longest wait that a request of its first time still has.
     *
     * <p>First waits were seen spread evenly from 0.857 of the longest up to it, and those of
     * callers that came back after {@link PlaceSearch#COME_BACK_MILLIS} at 0.81 and below. Taken
     * for come-backs, two thirds of the first requests waited behind others: 0.05 of a calm day's
     * worth on six engines.
     */
    static final double FIRST_SHARE = 0.84;

    /**
     * Time after which longer waits of before are forgotten, in milliseconds: several times a wait,
     * so that a route whose callers have become less patient is judged by them within a minute.
     */
    static final long KEPT_MILLIS = 30_000;

    private record Longest(long sinceMillis, long before, long now) {

        private long either() {
            return Math.max(before, now);
        }

        private Longest with(long waitMillis, long nowMillis) {
            return nowMillis - sinceMillis < KEPT_MILLIS
                    ? new Longest(sinceMillis, before, Math.max(now, waitMillis))
                    : new Longest(nowMillis, now, waitMillis);
        }
    }

    private final Map<String, Longest> mLongest = new HashMap<>();

    /**
     * Notes a request's wait and returns whether it comes back after a refusal.
     *
     * @param route its route
     * @param waitMillis how long its caller still waits
     * @param nowMillis reading of the clock
     */
    public boolean comesBack(String route, long waitMillis, long nowMillis) {
        Longest longest =
                mLongest.merge(
                        route,
                        new Longest(nowMillis, 0, waitMillis),
                        (old, first) -> old.with(waitMillis, nowMillis));
        return waitMillis < longest.either() * FIRST_SHARE;
    }
}
