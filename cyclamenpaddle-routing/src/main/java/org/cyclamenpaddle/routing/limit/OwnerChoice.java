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

    /** How a host failed to respond. */
    public enum FailureKind {
        /** No response came in time: the host may be overloaded, paused or cut off. */
        NO_RESPONSE(Long.MAX_VALUE),
        /** There is no connection: its process is down, and a further attempt fails at once. */
        NO_CONNECTION(400);

        private final long mMaxPauseMillis;

        FailureKind(long maxPauseMillis) {
            mMaxPauseMillis = maxPauseMillis;
        }
    }

    private record Failure(long pauseMillis, long untilMillis) {}

    private final Map<HostId, Failure> mFailures = new HashMap<>();
    private final long mMinPauseMillis;
    private final long mMaxPauseMillis;

    /**
     * Creates a choice among hosts of which none has failed.
     *
     * @param minPauseMillis time for which a host is not asked again after a first failure, in
     *     milliseconds
     * @param maxPauseMillis limit on that time, which doubles with each further failure
     */
    public OwnerChoice(long minPauseMillis, long maxPauseMillis) {
        mMinPauseMillis = minPauseMillis;
        mMaxPauseMillis = maxPauseMillis;
    }

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
    public boolean recordFailure(HostId host, FailureKind kind, long nowMillis) {
        Failure last = mFailures.get(host);
        long longest = Math.min(mMaxPauseMillis, kind.mMaxPauseMillis);
        long pauseMillis =
                last == null ? mMinPauseMillis : Math.min(longest, 2 * last.pauseMillis());
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

    /** Returns whether a host did not respond when it was last asked. */
    public boolean hasFailed(HostId host) {
        return mFailures.containsKey(host);
    }

    private boolean isPaused(HostId host, long nowMillis) {
        Failure last = mFailures.get(host);
        return last != null && nowMillis < last.untilMillis();
    }
}
