package org.cyclamenpaddle.routing.limit;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.cyclamenpaddle.core.id.HostId;
import org.cyclamenpaddle.core.id.TeamName;
import org.cyclamenpaddle.core.message.QuotaRequest;
import org.cyclamenpaddle.core.message.QuotaResponse;
import org.testng.annotations.Test;

/** Tests what an owner lends as primary owner and as deputy. */
public class QuotaShardTest {

    private static final TeamName TEAM = new TeamName("team");
    private static final HostId SELF = new HostId("self");
    private static final HostId OTHER = new HostId("other");
    private static final long SILENT_MILLIS = 2_500;
    private static final QuotaLimit LIMIT = new QuotaLimit(1_000, 1_000);
    private static final Function<TeamName, Optional<QuotaLimit>> LIMITS =
            team -> Optional.of(LIMIT);
    private static final QuotaShard.Fleet PRIMARY =
            new QuotaShard.Fleet(true, Set.of(SELF, OTHER), 2, SILENT_MILLIS, 5 * SILENT_MILLIS);
    private static final QuotaShard.Fleet DEPUTY =
            new QuotaShard.Fleet(false, Set.of(SELF, OTHER), 2, SILENT_MILLIS, 5 * SILENT_MILLIS);

    private final QuotaBounds mBounds = new QuotaBounds(8, 0, 0);

    private static QuotaRequest need(long needed, long first, long usePerSecond) {
        return need(needed, first, usePerSecond, 0, 0);
    }

    private static QuotaRequest need(
            long needed, long first, long usePerSecond, long elsewhere, long entitledPerSecond) {
        return new QuotaRequest(
                0,
                entitledPerSecond > 0 ? 5_000 : 0,
                QuotaRequest.NEVER_MILLIS,
                QuotaRequest.NEVER_MILLIS,
                List.of(
                        new QuotaRequest.TeamUse(
                                TEAM,
                                needed,
                                first,
                                0,
                                0,
                                0,
                                elsewhere,
                                usePerSecond,
                                entitledPerSecond)));
    }

    private static long lent(QuotaResponse response) {
        return response.grants().get(0).units();
    }

    /** Asks for far more than there is, so that everything available is lent. */
    private static long lendAll(QuotaShard shard, QuotaShard.Fleet fleet, HostId host, long now) {
        return lent(shard.lend(host, need(1_000_000, 1, 0), fleet, LIMITS, now));
    }

    private QuotaShard reportedByBoth(long now) {
        QuotaShard shard = new QuotaShard(mBounds, 0);
        shard.lend(SELF, need(0, 0, 0), PRIMARY, LIMITS, now);
        shard.lend(OTHER, need(0, 0, 0), PRIMARY, LIMITS, now);
        return shard;
    }

    @Test
    public void primaryOwnerLendsTheBurstAndThenTheRate() {
        QuotaShard shard = reportedByBoth(0);
        assertEquals(lendAll(shard, PRIMARY, SELF, 1_500), 1_000);
        assertEquals(lendAll(shard, PRIMARY, SELF, 2_000), 500);
    }

    /** Failure: small requests take units as they come, and a large one never finds enough. */
    @Test
    public void firstRequestIsLentAllThatItNeedsWhileUnitsAreLeft() {
        QuotaShard shard = reportedByBoth(0);
        assertEquals(lent(shard.lend(SELF, need(4_000, 4_000, 0), PRIMARY, LIMITS, 1_000)), 4_000);
        QuotaResponse refused = shard.lend(SELF, need(200, 200, 0), PRIMARY, LIMITS, 2_000);
        assertEquals(lent(refused), 0);
        long retryMillis = refused.grants().get(0).retryMillis();
        assertTrue(retryMillis >= 2_000, "debt of 2,000 units, retry after " + retryMillis);
    }

    /**
     * Failure: a host that is cut off goes on at its usual rate while the owner lends the whole
     * limit to the others, and both together exceed it.
     */
    @Test
    public void whatASilentHostMayUseIsReserved() {
        QuotaShard shard = reportedByBoth(0);
        shard.lend(OTHER, need(0, 0, 600), PRIMARY, LIMITS, 1_000);
        lendAll(shard, PRIMARY, SELF, 1_000);
        long lent = 0;
        for (long now = 2_000; now <= 9_000; now += 1_000) {
            lent += lendAll(shard, PRIMARY, SELF, now);
        }
        assertTrue(lent <= 3_300, "400 of 1,000 units a second for 8 s, lent " + lent);
    }

    @Test
    public void reserveIsReleasedWhenTheHostReportsWhatItUsed() {
        QuotaShard shard = reportedByBoth(0);
        shard.lend(OTHER, need(0, 0, 600), PRIMARY, LIMITS, 1_000);
        lendAll(shard, PRIMARY, SELF, 1_000);
        lendAll(shard, PRIMARY, SELF, 5_000);
        shard.lend(OTHER, need(0, 0, 0, 100, 600), PRIMARY, LIMITS, 5_000);
        long lent = lendAll(shard, PRIMARY, SELF, 5_000);
        assertTrue(lent >= 900, "2,400 reserved and 100 used, lent " + lent);
    }

    @Test
    public void deputyLendsTheEntitlementsOfReportingHosts() {
        QuotaShard shard = new QuotaShard(mBounds, 0);
        shard.lend(SELF, need(0, 0, 0, 0, 300), DEPUTY, LIMITS, 0);
        long lent = 0;
        for (long now = 1_000; now <= 4_000; now += 1_000) {
            lent += lent(shard.lend(SELF, need(9_999, 1, 0, 0, 300), DEPUTY, LIMITS, now));
        }
        assertTrue(lent >= 1_100 && lent <= 1_201, "300 units a second for 4 s, lent " + lent);
    }

    /**
     * Failure: while hosts disagree about the owner, a host that reports to another deputy from now
     * on is entitled at both until it counts as silent at the first one.
     */
    @Test
    public void hostThatHasMovedToAnotherDeputyIsNotEntitledAtTheFirstOne() {
        QuotaShard shard = new QuotaShard(mBounds, 0);
        shard.lend(SELF, need(0, 0, 0, 0, 300), DEPUTY, LIMITS, 0);
        shard.lend(OTHER, need(0, 0, 0, 0, 300), DEPUTY, LIMITS, 0);
        long lent = 0;
        for (long now = 100; now <= 2_000; now += 100) {
            lent += lent(shard.lend(SELF, need(9_999, 1, 0, 0, 300), DEPUTY, LIMITS, now));
        }
        assertTrue(lent >= 550 && lent <= 601, "300 units a second for 2 s, lent " + lent);
    }

    @Test
    public void deputyLendsEqualPartsOnceEntitlementsHaveExpired() {
        QuotaShard shard = new QuotaShard(mBounds, 0);
        shard.lend(SELF, need(0, 0, 0), DEPUTY, LIMITS, 0);
        long lent = 0;
        for (long now = 1_000; now <= 4_000; now += 1_000) {
            lent += lendAll(shard, DEPUTY, SELF, now);
        }
        assertTrue(lent >= 1_900 && lent <= 2_001, "half of 1,000 for 4 s, lent " + lent);
    }

    /** Failure: a restarted owner lends a whole burst although its predecessor has just done so. */
    @Test
    public void newOwnerStartsWithoutUnits() {
        QuotaShard shard = new QuotaShard(mBounds, 50_000);
        assertTrue(lendAll(shard, PRIMARY, SELF, 50_000) <= 1);
    }

    /** Failure: teams are refused after a restart although the excess allows a few requests. */
    @Test
    public void newOwnerStartsWithAPartOfTheExcess() {
        QuotaShard shard = new QuotaShard(new QuotaBounds(8, 0, 5_000), 50_000);
        long lent = lendAll(shard, PRIMARY, SELF, 50_000);
        assertTrue(lent >= 490 && lent <= 510, "a tenth of the slack, lent " + lent);
    }

    /** Failure: hosts disagree for a while, and the owner gets the part again and again. */
    @Test
    public void ownerThatRegainsItsRoleWithinAWindowStartsWithoutUnits() {
        QuotaShard shard = new QuotaShard(new QuotaBounds(8, 0, 5_000), 50_000);
        lendAll(shard, PRIMARY, SELF, 50_000);
        lendAll(shard, DEPUTY, SELF, 51_000);
        assertTrue(lendAll(shard, PRIMARY, SELF, 52_000) <= 1);
    }

    @Test
    public void teamWithoutALimitIsLentWhatItNeeds() {
        QuotaShard shard = new QuotaShard(mBounds, 0);
        QuotaResponse response =
                shard.lend(SELF, need(70, 70, 0), PRIMARY, team -> Optional.empty(), 0);
        assertEquals(lent(response), 70);
    }
}
