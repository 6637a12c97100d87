package org.cyclamenpaddle.routing.reservation;

import java.util.HashMap;
import java.util.Map;

/**
 * Distinguishes new requests from those of callers that return after a refusal.
 *
 * <p>A caller sends how long it will still wait. For a new request that is nearly the longest wait
 * of its route; for a returning caller it is shorter by the time already spent. The longest wait is
 * learned, since callers differ and the configuration does not state it. Not thread-safe.
 */
public final class ReturningCallers {

    /**
     * Time after which older, longer waits are dropped, in milliseconds: several times a wait, so
     * that a route whose callers have begun to wait less is judged by the new waits within a
     * minute.
     */
    static final long RETENTION_MILLIS = 30_000;

    private record LongestWait(long sinceMillis, long previousMillis, long currentMillis) {

        private long maxMillis() {
            return Math.max(previousMillis, currentMillis);
        }

        private LongestWait with(long waitMillis, long nowMillis) {
            return nowMillis - sinceMillis < RETENTION_MILLIS
                    ? new LongestWait(
                            sinceMillis, previousMillis, Math.max(currentMillis, waitMillis))
                    : new LongestWait(nowMillis, currentMillis, waitMillis);
        }
    }

    private final Map<String, LongestWait> mLongestWaits = new HashMap<>();

    /**
     * Records a request's wait and returns whether its caller returns after a refusal.
     *
     * @param route its route
     * @param waitMillis how long its caller will still wait
     * @param spentMillis minimum time that a caller spends on a first attempt and the retry delay
     *     after it
     * @param nowMillis current clock reading
     */
    public boolean isReturning(String route, long waitMillis, long spentMillis, long nowMillis) {
        LongestWait longest =
                mLongestWaits.merge(
                        route,
                        new LongestWait(nowMillis, 0, waitMillis),
                        (old, first) -> old.with(waitMillis, nowMillis));
        return waitMillis < longest.maxMillis() - spentMillis;
    }
}
