package org.cyclamenpaddle.routing.limit;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.cyclamenpaddle.core.id.HostId;
import org.cyclamenpaddle.core.id.TeamName;
import org.cyclamenpaddle.core.message.QuotaRequest;
import org.cyclamenpaddle.core.message.QuotaResponse;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests what a host borrows, spends and gives back. */
public class QuotaBorrowerTest {

    private static final TeamName TEAM = new TeamName("team");

    private static final long WAIT = QuotaBorrower.WAIT_MILLIS;

    private static final HostId OWNER = new HostId("owner");

    private QuotaBorrower<String> mBorrower;

    @BeforeMethod
    public void create() {
        mBorrower = new QuotaBorrower<>(0);
    }

    private List<QuotaBorrower.Settled<String>> exchange(long units, boolean primary, long now) {
        QuotaRequest request = mBorrower.report(OWNER, now);
        return mBorrower.apply(
                request,
                new QuotaResponse(primary, List.of(new QuotaResponse.Grant(TEAM, units, 700))),
                now);
    }

    @Test
    public void waitingRequestsAreAdmittedInOrderAsFarAsUnitsGo() {
        assertEquals(mBorrower.take(TEAM, 100, "a", 0), QuotaDecision.PENDING);
        assertEquals(mBorrower.take(TEAM, 100, "b", 0), QuotaDecision.PENDING);
        assertTrue(mBorrower.hasWaiting());
        List<QuotaBorrower.Settled<String>> settled = exchange(150, true, 3);
        assertEquals(settled.get(0).request(), "a");
        assertEquals(settled.get(0).decision(), QuotaDecision.ADMITTED);
        assertEquals(settled.get(1).decision(), new QuotaDecision.Denied(700));
        assertFalse(mBorrower.hasWaiting());
    }

    @Test
    public void unitsInAdvanceAdmitTheNextRequestAtOnce() {
        mBorrower.take(TEAM, 100, "a", 0);
        exchange(200, true, 3);
        assertEquals(mBorrower.take(TEAM, 100, "b", 10), QuotaDecision.ADMITTED);
    }

    /** A request that arrives while a report is in progress waits for the next one. */
    @Test
    public void requestThatArrivesAfterTheReportIsNotDeniedByItsResponse() {
        mBorrower.take(TEAM, 100, "a", 0);
        QuotaRequest request = mBorrower.report(OWNER, 0);
        mBorrower.take(TEAM, 100, "b", 1);
        List<QuotaBorrower.Settled<String>> settled =
                mBorrower.apply(
                        request,
                        new QuotaResponse(true, List.of(new QuotaResponse.Grant(TEAM, 0, 700))),
                        3);
        assertEquals(settled.size(), 1);
        assertTrue(mBorrower.hasWaiting());
    }

    /** Failure: a team over its limit asks the owner for each of its requests. */
    @Test
    public void denialAppliesToRequestsThatFollowAtOnce() {
        mBorrower.take(TEAM, 100, "a", 0);
        exchange(0, true, 3);
        assertEquals(mBorrower.take(TEAM, 100, "b", 50), new QuotaDecision.Denied(700));
        assertEquals(mBorrower.take(TEAM, 100, "c", 150), QuotaDecision.PENDING);
    }

    /** Failure: a short call waits for an owner that responds late, and is late itself. */
    @Test
    public void hostWithAnAcknowledgedRateMayOweALittle() {
        mBorrower.take(TEAM, 4_000, "a", 0);
        exchange(4_000, true, 3);
        exchange(0, true, 10);
        assertEquals(mBorrower.take(TEAM, 100, "b", 20), QuotaDecision.ADMITTED);
        QuotaRequest.TeamUse owing = mBorrower.report(OWNER, 21).teams().get(0);
        assertEquals(owing.heldUnits(), 0);
        assertEquals(owing.firstUnits(), 100);
        assertTrue(owing.neededUnits() >= 100);
        assertEquals(mBorrower.take(TEAM, 100, "c", 22), QuotaDecision.PENDING);
    }

    @Test
    public void idleTeamGivesItsUnitsBack() {
        mBorrower.take(TEAM, 100, "a", 0);
        exchange(200, true, 3);
        assertEquals(mBorrower.report(OWNER, 1_000).teams().get(0).returnedUnits(), 0);
        assertEquals(mBorrower.report(OWNER, 3_000).teams().get(0).returnedUnits(), 100);
        assertEquals(mBorrower.report(OWNER, 3_001).teams().get(0).heldUnits(), 0);
    }

    /** A faulty owner must not make a host exceed the quota by more than it asked for. */
    @Test
    public void noMoreIsTakenThanWasAskedFor() {
        mBorrower.take(TEAM, 100, "a", 0);
        exchange(Long.MAX_VALUE, true, 3);
        assertTrue(mBorrower.report(OWNER, 4).teams().get(0).heldUnits() <= 100);
    }

    /** Failure: after a restart, a deputy that knows nothing yet denies requests. */
    @Test
    public void denialOfADeputyIsNotFinalUntilTheRequestExpires() {
        mBorrower.take(TEAM, 100, "a", 0);
        assertEquals(exchange(0, false, 3), List.of());
        assertTrue(mBorrower.hasWaiting());
        assertEquals(mBorrower.expire((team, cost) -> false, WAIT - 1), List.of());
        List<QuotaBorrower.Settled<String>> settled = mBorrower.expire((team, cost) -> false, WAIT);
        assertTrue(settled.get(0).decision() instanceof QuotaDecision.Denied, settled.toString());
        assertFalse(mBorrower.hasWaiting());
    }

    /** Failure: a response that arrives after a request has expired counts it a second time. */
    @Test
    public void unitsForAnExpiredRequestStayWithTheHost() {
        mBorrower.take(TEAM, 100, "a", 0);
        QuotaRequest request = mBorrower.report(OWNER, 0);
        assertEquals(mBorrower.expire((team, cost) -> false, WAIT).size(), 1);
        List<QuotaBorrower.Settled<String>> settled =
                mBorrower.apply(
                        request,
                        new QuotaResponse(true, List.of(new QuotaResponse.Grant(TEAM, 100, 0))),
                        WAIT + 1);
        assertEquals(settled, List.of());
        assertEquals(mBorrower.take(TEAM, 100, "b", WAIT + 2), QuotaDecision.ADMITTED);
        assertEquals(mBorrower.take(TEAM, 9_000, "c", WAIT + 2), QuotaDecision.PENDING);
    }

    /** Failure: all requests that arrive while no owner responds are admitted unseen. */
    @Test
    public void oneRequestOfATeamEntersAndIsReported() {
        mBorrower.take(TEAM, 100, "a", 0);
        mBorrower.take(TEAM, 100, "b", 0);
        mBorrower.report(OWNER, 0);
        List<QuotaBorrower.Settled<String>> settled = mBorrower.expire((team, cost) -> true, WAIT);
        assertEquals(settled.get(0).decision(), QuotaDecision.ADMITTED);
        assertTrue(settled.get(1).decision() instanceof QuotaDecision.Denied, settled.toString());
        assertEquals(mBorrower.report(OWNER, WAIT + 1).teams().get(0).elsewhereUnits(), 100);
    }

    /** Failure: a host that is cut off later admits requests as if it had just started. */
    @Test
    public void nothingEntersOnceAPrimaryOwnerHasResponded() {
        mBorrower.take(TEAM, 100, "a", 0);
        exchange(100, true, 3);
        mBorrower.take(TEAM, 9_000, "b", 10);
        List<QuotaBorrower.Settled<String>> settled =
                mBorrower.expire((team, cost) -> true, 10 + WAIT);
        assertTrue(settled.get(0).decision() instanceof QuotaDecision.Denied, settled.toString());
    }

    @Test
    public void nothingEntersLongAfterTheStart() {
        mBorrower.report(OWNER, 0);
        mBorrower.take(TEAM, 100, "a", 5_000);
        List<QuotaBorrower.Settled<String>> settled =
                mBorrower.expire((team, cost) -> true, 5_000 + WAIT);
        assertTrue(settled.get(0).decision() instanceof QuotaDecision.Denied, settled.toString());
    }

    @Test
    public void onlyThePrimaryOwnerAcknowledgesARate() {
        mBorrower.take(TEAM, 4_000, "a", 0);
        exchange(4_000, false, 3);
        QuotaRequest afterDeputy = mBorrower.report(OWNER, 4);
        assertEquals(afterDeputy.entitledMillis(), 0);
        assertEquals(afterDeputy.teams().get(0).elsewhereUnits(), 4_000);
        exchange(0, true, 10);
        QuotaRequest afterPrimary = mBorrower.report(OWNER, 11);
        assertTrue(afterPrimary.entitledMillis() > 10_000);
        assertTrue(afterPrimary.teams().get(0).entitledPerSecond() > 900);
        assertEquals(afterPrimary.teams().get(0).elsewhereUnits(), 0);
    }
}
