package org.cyclamenpaddle.routing.limit;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cyclamenpaddle.core.id.HostId;

/**
 * Chooses the owner of a shard that a host borrows from: the first candidate that has not failed
 * recently. Not thread-safe.
 */
public final class OwnerChoice {

    /** Time for which a host is not asked again after a first failure, in milliseconds. */
    static final long MIN_PAUSE_MILLIS = 500;

    /** Limit on that time, which doubles with each further failure, in milliseconds. */
    static final long MAX_PAUSE_MILLIS = 4_000;

    private record Failure(long pauseMillis, long untilMillis) {}

    private final Map<HostId, Failure> mFailures = new HashMap<>();

    /**
     * Returns the host to ask.
     *
     * @param candidates primary owner, deputies in their order, and last this host itself
     * @param nowMillis current time of the steady clock
     */
    public HostId choose(List<HostId> candidates, long nowMillis) {
        return candidates.stream()
                .filter(host -> !isPaused(host, nowMillis))
                .findFirst()
                .orElse(candidates.get(candidates.size() - 1));
    }

    /**
     * Records that a host did not respond.
     *
     * @return whether it had responded before
     */
    public boolean recordFailure(HostId host, long nowMillis) {
        Failure last = mFailures.get(host);
        long pauseMillis =
                last == null
                        ? MIN_PAUSE_MILLIS
                        : Math.min(MAX_PAUSE_MILLIS, 2 * last.pauseMillis());
        mFailures.put(host, new Failure(pauseMillis, nowMillis + pauseMillis));
        return last == null;
    }

    /**
     * Records that a host responded.
     *
     * @return whether it had failed before
     */
    public boolean recordSuccess(HostId host) {
        return mFailures.remove(host) != null;
    }

    private boolean isPaused(HostId host, long nowMillis) {
        Failure last = mFailures.get(host);
        return last != null && nowMillis < last.untilMillis();
    }
}
