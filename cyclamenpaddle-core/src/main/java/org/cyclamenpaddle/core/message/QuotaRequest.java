package org.cyclamenpaddle.core.message;

import java.util.List;
import org.cyclamenpaddle.core.id.TeamName;

/**
 * Reports a host's use of the quotas of one shard to the owner of the shard, and borrows from them.
 *
 * @param shard number of the shard, from 0
 * @param entitledMillis time for which the host may still use the rates that the shard's primary
 *     owner has acknowledged, in milliseconds; 0 if they have expired
 * @param sinceOtherOwnerMillis time since the host sent the last report that another owner has
 *     answered, in milliseconds; {@link #NEVER_MILLIS} at most
 * @param sinceOtherPrimaryMillis time since the host sent the last report that another owner may
 *     have received as the primary one, in milliseconds; {@link #NEVER_MILLIS} at most
 * @param teams teams with recent use; a host without any sends an empty list to show that it is
 *     alive
 */
public record QuotaRequest(
        int shard,
        long entitledMillis,
        long sinceOtherOwnerMillis,
        long sinceOtherPrimaryMillis,
        List<TeamUse> teams)
        implements PeerMessage {

    /** Stands for a time that no owner remembers, in milliseconds. */
    public static final long NEVER_MILLIS = 3_600_000;

    public QuotaRequest {
        teams = List.copyOf(teams);
        if (shard < 0 || entitledMillis < 0) {
            throw new IllegalArgumentException(
                    "shard "
                            + shard
                            + " and entitled time "
                            + entitledMillis
                            + " must be 0 or more");
        }
        if (Math.min(sinceOtherOwnerMillis, sinceOtherPrimaryMillis) < 0) {
            throw new IllegalArgumentException(
                    "times since reports to other owners must be 0 or more, got "
                            + sinceOtherOwnerMillis
                            + " and "
                            + sinceOtherPrimaryMillis);
        }
    }

    /**
     * A host's use of one team's quota; amounts in units of the quota.
     *
     * @param team the team
     * @param neededUnits cost of the requests that wait for this message
     * @param firstUnits cost of the first of them
     * @param advanceUnits units asked for in advance, for requests to come
     * @param heldUnits unspent units that the host keeps
     * @param returnedUnits unspent units that the host gives back
     * @param elsewhereUnits units borrowed from other owners since the last response of the primary
     *     owner
     * @param usePerSecond recent rate of use
     * @param entitledPerSecond rate that the primary owner has last acknowledged
     */
    public record TeamUse(
            TeamName team,
            long neededUnits,
            long firstUnits,
            long advanceUnits,
            long heldUnits,
            long returnedUnits,
            long elsewhereUnits,
            long usePerSecond,
            long entitledPerSecond) {

        public TeamUse {
            if (team == null) {
                throw new IllegalArgumentException("use of a quota needs a team");
            }
            long least =
                    Math.min(
                            Math.min(Math.min(neededUnits, firstUnits), advanceUnits),
                            Math.min(Math.min(heldUnits, returnedUnits), elsewhereUnits));
            if (Math.min(least, Math.min(usePerSecond, entitledPerSecond)) < 0) {
                throw new IllegalArgumentException(
                        "use of the quota of team " + team + " has a negative amount");
            }
        }
    }
}
