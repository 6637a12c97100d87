package org.cyclamenpaddle.fleet.claim;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import org.cyclamenpaddle.core.id.AttemptId;
import org.cyclamenpaddle.core.id.HostId;
import org.cyclamenpaddle.core.id.Incarnation;
import org.cyclamenpaddle.core.id.ServiceName;
import org.cyclamenpaddle.core.invariant.BrokenInvariantException;
import org.cyclamenpaddle.core.message.ClaimResponse;
import org.cyclamenpaddle.core.message.ClaimResponse.StoredResponse;
import org.cyclamenpaddle.core.outcome.Refusal;
import org.cyclamenpaddle.core.outcome.RefusalReason;
import org.testng.annotations.Test;

public class BookingMachineTest {

    private static final ClaimKey KEY = new ClaimKey(new ServiceName("spot-book"), "lot 7");
    private static final ClaimRecord OWN = claim("host-a", "cafe");
    private static final ClaimRecord OTHER = claim("host-b", "cafe");
    private static final StoredResponse RESPONSE = new StoredResponse(200, "text/plain", "booked");
    private static final long DEADLINE = 1_000;

    @Test
    public void lostClaimResponseIsReadBackBeforeDispatch() {
        // The response to the claim is lost, and another host has claimed the key of the same
        // resent booking. Dispatching on the assumption that this claim was stored would run the
        // booking twice.
        BookingMachine call = started();

        assertEquals(
                on(call, new BookingEvent.ClaimResponseLost()),
                List.of(new BookingEffect.ReadClaim(KEY)));
        assertTrue(
                on(call, new BookingEvent.ClaimRead(Optional.of(OTHER))).get(0)
                        instanceof BookingEffect.QueryClaimHolder);
    }

    @Test
    public void resendDuringRunningCallIsNeverReportedAsNotRun() {
        // A resent booking finds the claim of the first host, and then the platform becomes
        // unavailable. The reply must not be "not run", because the first host may still be running
        // the booking.
        BookingMachine call = started();
        on(call, new BookingEvent.ClaimConflict(OTHER));
        on(call, holderResponded(ClaimResponse.State.RUNNING));
        on(call, new BookingEvent.TimerExpired());

        assertEquals(
                on(call, new BookingEvent.PlatformUnavailable()),
                refused(RefusalReason.CLAIM_BUSY));
    }

    @Test
    public void platformOutageIsNotRunOnlyIfNoHostHasARecord() {
        // No claim can be obtained while the platform is unavailable. If the request is a resend of
        // a booking that ran and of which a peer has a record, "not run" would be false, and the
        // caller would book again with a new key.
        BookingMachine first = started();
        on(first, new BookingEvent.PlatformUnavailable());
        BookingMachine resend = started();
        on(resend, new BookingEvent.PlatformUnavailable());

        assertEquals(
                on(
                        first,
                        peersResponded(
                                true, ClaimResponse.State.NO_RECORD, ClaimResponse.State.NOT_RUN)),
                refused(RefusalReason.PLATFORM_AWAY));
        assertEquals(
                on(resend, peersResponded(true, ClaimResponse.State.RAN)),
                refused(RefusalReason.CLAIM_UNREADABLE));
    }

    @Test
    public void peerResponsesFromBeforeAPauseAreStale() {
        // The peers have no record of the key, but this host is paused before it processes their
        // responses. Meanwhile the caller times out and books through another host, so the stale
        // responses must not lead to "not run".
        BookingMachine call = started();
        on(call, new BookingEvent.PlatformUnavailable());

        assertEquals(
                call.on(peersResponded(true, ClaimResponse.State.NO_RECORD), 501),
                refused(RefusalReason.CLAIM_UNREADABLE));
    }

    @Test
    public void platformOutageIsUnknownIfAHostWasLost() {
        BookingMachine call = started();
        on(call, new BookingEvent.PlatformUnavailable());

        assertEquals(
                on(call, peersResponded(false, ClaimResponse.State.NO_RECORD)),
                refused(RefusalReason.CLAIM_UNREADABLE));
    }

    @Test
    public void timeoutWhileConnectingWaitsForTheWriter() {
        // The caller's deadline expires just as the connection opens and the writer has written the
        // first byte. "Not run" on the deadline alone would be false.
        BookingMachine call = claimed();

        assertEquals(on(call, new BookingEvent.Timeout()), List.of(new BookingEffect.Abort()));
        on(call, new BookingEvent.FirstByteWritten());
        assertEquals(
                on(call, new BookingEvent.FailedAfterFirstByte()),
                List.of(
                        new BookingEffect.RecordOutcome(OWN, ClaimState.UNKNOWN),
                        refused(RefusalReason.BACKEND_FAILED).get(0)));
    }

    @Test
    public void timeoutWhileClaimingReleasesTheKey() {
        // The platform is slow and the deadline expires first. The claim may still be stored;
        // unless this host releases it, the key stays claimed for the retention period of a day.
        assertTrue(
                on(started(), new BookingEvent.Timeout())
                        .contains(new BookingEffect.RecordOutcome(OWN, ClaimState.NOT_RUN)));
    }

    @Test
    public void triesAnotherBackendOnlyBeforeTheFirstByte() {
        BookingMachine call = claimed();

        assertEquals(
                on(call, new BookingEvent.ConnectFailedBeforeFirstByte()),
                List.of(new BookingEffect.Dispatch(OWN.attempt(), 2)));
        assertEquals(on(call, new BookingEvent.Connected()), List.of(new BookingEffect.SendCall()));
        assertTrue(on(call, new BookingEvent.ConnectFailedBeforeFirstByte()).isEmpty());
    }

    @Test
    public void firstByteAfterNotRunBreaksAnInvariant() {
        BookingMachine call = claimed();
        on(call, new BookingEvent.Timeout());
        on(call, new BookingEvent.ConnectFailedBeforeFirstByte());

        assertThrows(
                BrokenInvariantException.class,
                () -> on(call, new BookingEvent.FirstByteWritten()));
    }

    @Test
    public void pausedHolderDoesNotDispatchAfterItsDeadline() {
        BookingMachine call = started();

        assertEquals(
                call.on(new BookingEvent.ClaimWritten(), DEADLINE),
                List.of(
                        new BookingEffect.RecordOutcome(OWN, ClaimState.NOT_RUN),
                        refused(RefusalReason.PLATFORM_AWAY).get(0)));
    }

    @Test
    public void otherRequestUnderTheKeyIsRefused() {
        assertEquals(
                on(started(), new BookingEvent.ClaimConflict(claim("host-b", "beef"))),
                refused(RefusalReason.KEY_REUSED));
    }

    @Test
    public void lateResponseIsStoredForResends() {
        // The response arrives after the deadline was reported to the caller. A resend must get
        // this response and must not run again.
        BookingMachine call = claimed();
        on(call, new BookingEvent.Connected());

        assertEquals(on(call, new BookingEvent.Timeout()), refused(RefusalReason.DEADLINE_PASSED));
        assertEquals(
                on(call, new BookingEvent.ResponseComplete(RESPONSE)),
                List.of(new BookingEffect.RecordOutcome(OWN, ClaimState.RAN)));
        assertEquals(
                call.claimResponse(),
                new ClaimResponse(ClaimResponse.State.RAN, Optional.of(RESPONSE)));
    }

    @Test
    public void hostThatSawALossDoesNotReportAKeyAsUnused() {
        // The host that ran the booking failed, and the querying host started after that. Its peers
        // never had the key but saw the loss, so they must not report it as unused.
        BookingTable table = new BookingTable(1, 1_000);

        assertEquals(state(table, true, 0), ClaimResponse.State.UNKNOWN);
        assertEquals(state(table, false, 0), ClaimResponse.State.NO_RECORD);
    }

    @Test
    public void evictedCallIsUnknownWhileCallersMaySendAgain() {
        BookingTable table = new BookingTable(1, 1_000);
        BookingMachine ran = claimed();
        on(ran, new BookingEvent.Connected());
        on(ran, new BookingEvent.ResponseComplete(RESPONSE));
        table.add(ran, 0);
        table.add(new BookingMachine(claimOf("lot 8"), BookingSettings.DEFAULTS, DEADLINE), 10);

        assertEquals(table.size(), 1);
        assertEquals(state(table, false, 999), ClaimResponse.State.UNKNOWN);
        assertEquals(state(table, false, 1_000), ClaimResponse.State.NO_RECORD);
    }

    private static ClaimResponse.State state(BookingTable table, boolean hostLost, long now) {
        return table.claimResponse(KEY, Optional.empty(), hostLost, now).state();
    }

    private static BookingMachine started() {
        BookingMachine call = new BookingMachine(OWN, BookingSettings.DEFAULTS, DEADLINE);
        call.start();
        return call;
    }

    private static BookingMachine claimed() {
        BookingMachine call = started();
        on(call, new BookingEvent.ClaimWritten());
        return call;
    }

    private static List<BookingEffect> on(BookingMachine call, BookingEvent event) {
        return call.on(event, 0);
    }

    private static BookingEvent holderResponded(ClaimResponse.State state) {
        return new BookingEvent.ClaimHolderResponded(new ClaimResponse(state, Optional.empty()));
    }

    private static BookingEvent peersResponded(boolean complete, ClaimResponse.State... states) {
        return new BookingEvent.PeersResponded(List.of(states), complete);
    }

    private static List<BookingEffect> refused(RefusalReason reason) {
        return List.of(new BookingEffect.Reply(new BookingReply.Refused(Refusal.of(reason, ""))));
    }

    private static ClaimRecord claimOf(String key) {
        ClaimKey other = new ClaimKey(KEY.service(), key);
        return new ClaimRecord(other, "cafe", OTHER.attempt(), ClaimState.CLAIMED, 0);
    }

    private static ClaimRecord claim(String host, String fingerprint) {
        AttemptId attempt = AttemptId.of(new Incarnation(new HostId(host), 1), 1);
        return new ClaimRecord(KEY, fingerprint, attempt, ClaimState.CLAIMED, 0);
    }
}
