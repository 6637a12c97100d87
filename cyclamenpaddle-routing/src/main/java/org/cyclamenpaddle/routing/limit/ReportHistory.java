package org.cyclamenpaddle.routing.limit;

import java.util.HashMap;
import java.util.Map;
import org.cyclamenpaddle.core.id.HostId;
import org.cyclamenpaddle.core.message.QuotaRequest;

/**
 * Times of the reports that a host has sent to the owners of one shard.
 *
 * <p>From them an owner knows for which time this host may have counted with another owner. The
 * host itself measures that time, so that no message has to arrive for an owner to stop counting
 * it. At most one report is in progress at a time. Not thread-safe.
 */
final class ReportHistory {

    /** Times at which reports to one owner were sent, in milliseconds. */
    private static final class Sent {
        private long mAnsweredMillis = Long.MIN_VALUE / 2;

        /** Last report that the owner may have received while it was the primary one. */
        private long mPrimaryMillis = Long.MIN_VALUE / 2;

        /** Whether the last answer was that of a primary owner. */
        private boolean mPrimary;
    }

    private final Map<HostId, Sent> mOwners = new HashMap<>();
    private HostId mOwner;
    private long mSentMillis;

    /** Records that a report is sent. */
    void sent(HostId owner, long nowMillis) {
        Sent sent = mOwners.computeIfAbsent(owner, any -> new Sent());
        mOwner = owner;
        mSentMillis = nowMillis;
        if (sent.mPrimary) {
            // Until the owner has answered, it may have received the report or not.
            sent.mPrimaryMillis = nowMillis;
        }
    }

    /** Records the answer to the last report. */
    void answered(boolean primary) {
        Sent sent = mOwners.get(mOwner);
        sent.mAnsweredMillis = mSentMillis;
        sent.mPrimary = primary;
        if (primary) {
            sent.mPrimaryMillis = mSentMillis;
        }
    }

    /** Returns the time since the last report that an owner other than the given one answered. */
    long sinceOtherOwnerMillis(HostId owner, long nowMillis) {
        return since(owner, nowMillis, false);
    }

    /**
     * Returns the time since the last report that an owner other than the given one may have
     * received as the primary one.
     */
    long sinceOtherPrimaryMillis(HostId owner, long nowMillis) {
        return since(owner, nowMillis, true);
    }

    private long since(HostId owner, long nowMillis, boolean primary) {
        long last =
                mOwners.entrySet().stream()
                        .filter(other -> !other.getKey().equals(owner))
                        .map(Map.Entry::getValue)
                        .mapToLong(sent -> primary ? sent.mPrimaryMillis : sent.mAnsweredMillis)
                        .max()
                        .orElse(Long.MIN_VALUE / 2);
        return Math.min(QuotaRequest.NEVER_MILLIS, nowMillis - last);
    }
}
