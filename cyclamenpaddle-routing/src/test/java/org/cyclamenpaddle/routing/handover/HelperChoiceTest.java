package org.cyclamenpaddle.routing.handover;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.cyclamenpaddle.core.id.HostId;
import org.cyclamenpaddle.core.id.ServiceName;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which hosts are asked to take requests, and how many of them a host takes. */
public class HelperChoiceTest {

    private static final ServiceName BOOK = new ServiceName("book");
    private static final HostId NEAR = new HostId("near");
    private static final HostId NEAR_TOO = new HostId("near-too");
    private static final HostId FAR = new HostId("far");
    private static final List<HelperCandidate> ALL =
            List.of(
                    new HelperCandidate(NEAR, true),
                    new HelperCandidate(NEAR_TOO, true),
                    new HelperCandidate(FAR, false));

    private HelperChoice mChoice;

    @BeforeMethod
    public void start() {
        mChoice = new HelperChoice(() -> 0.5);
    }

    private Optional<HostId> choose(Set<HostId> tried, long now) {
        return mChoice.choose(BOOK, ALL, tried, now);
    }

    @Test
    public void hostsOfTheOwnDomainComeFirst() {
        assertTrue(choose(Set.of(), 0).filter(host -> !host.equals(FAR)).isPresent());
        assertEquals(choose(Set.of(NEAR, NEAR_TOO), 0), Optional.of(FAR));
    }

    /** A domain that is cut off as a whole uses up the tries of each request. */
    @Test
    public void hostsOfACutDomainComeLast() {
        mChoice.refused(NEAR, BOOK, HandoverRefusal.CUT_OFF, 0);
        assertEquals(choose(Set.of(NEAR), 1), Optional.of(FAR));
    }

    /** A host that is only busy stops all requests for half a second. */
    @Test
    public void busyHostIsAskedAgainSoon() {
        List<HelperCandidate> only = List.of(new HelperCandidate(NEAR, true));
        mChoice.reaches(NEAR, BOOK, 0);
        mChoice.refused(NEAR, BOOK, HandoverRefusal.BUSY, 0);
        assertEquals(mChoice.choose(BOOK, only, Set.of(), 50), Optional.empty());
        assertEquals(mChoice.choose(BOOK, only, Set.of(), 100), Optional.of(NEAR));
    }

    /** Each request asks several hosts while none of them reaches the service. */
    @Test
    public void noHostIsAskedForATimeAfterNoneReachesTheService() {
        List.of(NEAR, NEAR_TOO, FAR)
                .forEach(host -> mChoice.refused(host, BOOK, HandoverRefusal.CUT_OFF, 0));
        assertEquals(choose(Set.of(), 1), Optional.empty());
        long paused = HelperChoice.NONE_REACHES_MILLIS;
        assertEquals(choose(Set.of(), paused), Optional.empty());
        mChoice.reaches(FAR, BOOK, paused);
        assertTrue(choose(Set.of(), HandoverRefusal.CUT_OFF.pauseMillis()).isPresent());
    }

    @Test
    public void hostThatHasTakenARequestIsPreferredAndNamed() {
        mChoice.reaches(FAR, BOOK, 0);
        assertEquals(choose(Set.of(), 1), Optional.of(FAR));
        assertEquals(mChoice.preferred(BOOK, 1), Optional.of(FAR));
        assertEquals(mChoice.preferred(BOOK, HelperChoice.PREFERRED_MILLIS), Optional.empty());
    }

    /** The requests of a whole domain leave a host no time for its own callers. */
    @Test
    public void hostTakesLittleBesideItsOwnCallers() {
        HelperAdmission admission = new HelperAdmission(0);
        int taken = 0;
        for (long now = 0; now < 10_000; now++) {
            if (now % 100 == 0) {
                admission.recordOwn();
            }
            if (admission.tryTake(now)) {
                taken++;
                admission.ended();
            }
        }
        double bound =
                HelperAdmission.BASE_PER_SECOND * 10
                        + HelperAdmission.PER_OWN_REQUEST * 100
                        + HelperAdmission.MAX_SAVED;
        assertTrue(taken <= bound, "taken " + taken);
        int inFlight = 0;
        while (admission.tryTake(1_000_000 + 1_000L * inFlight)) {
            inFlight++;
        }
        assertEquals(inFlight, HelperAdmission.MAX_IN_FLIGHT);
        assertFalse(admission.tryTake(2_000_000));
    }
}
