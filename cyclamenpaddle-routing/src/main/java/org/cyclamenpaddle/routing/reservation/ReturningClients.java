package org.cyclamenpaddle.routing.reservation;

import java.util.HashMap;
import java.util.Map;

/**
 * Tells requests of their first time from those that come back after a refusal.
 *
 * <p>A caller says how long it will still wait. That is nearly the longest wait of its route the
 * first time, and less by what it spent when it comes back. The longest wait is learned, since
 * callers differ and the configuration does not state it. Not thread-safe.
 */
public final class ReturningClients {

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
     * @param spentMillis least time that a caller spends on a first try and the wait after it
     * @param nowMillis reading of the clock
     */
    public boolean isReturning(String route, long waitMillis, long spentMillis, long nowMillis) {
        Longest longest =
                mLongest.merge(
                        route,
                        new Longest(nowMillis, 0, waitMillis),
                        (old, first) -> old.with(waitMillis, nowMillis));
        return waitMillis < longest.either() - spentMillis;
    }
}
