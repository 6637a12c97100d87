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
    private static final ClaimRecord MINE = claim("host-a", "cafe");
    private static final ClaimRecord OTHER = claim("host-b", "cafe");
    private static final StoredResponse ANSWER = new StoredResponse(200, "text/plain", "booked");
    private static final long DEADLINE = 1_000;

    @Test
    public void lostClaimAnswerIsReadBackBeforeDispatch() {
        // The claim's answer is lost, and another host's claim for the same resent booking won.
        // Dispatching on the assumption that this claim stands would book the lot twice.
        BookingMachine call = started();

        assertEquals(
                on(call, new BookingEvent.ClaimResponseLost()),
                List.of(new BookingEffect.ReadClaim(KEY)));
        assertTrue(
                on(call, new BookingEvent.ClaimRead(Optional.of(OTHER))).get(0)
                        instanceof BookingEffect.QueryClaimHolder);
    }

    @Test
    public void resendWhileTheOtherCallIsOpenIsNeverCalledNotRun() {
        // The caller sent the booking again through this host, which found the first host's claim
        // and asked it. Then the platform goes away. That the booking did not run can't be said:
        // the first host may be running it this moment.
        BookingMachine call = started();
        on(call, new BookingEvent.ClaimConflict(OTHER));
        on(call, answered(ClaimResponse.State.RUNNING));
        on(call, new BookingEvent.Wake());

        assertEquals(
                on(call, new BookingEvent.PlatformUnavailable()),
                refused(RefusalReason.CLAIM_BUSY));
    }

    @Test
    public void platformAwayIsNotRunOnlyIfNoHostKnowsTheKey() {
        // The platform is away, so no claim can be had. If the request is a resend of a booking
        // that ran through a host which a peer still remembers, not run would be false, and the
        // caller would book again under a new key.
        BookingMachine first = started();
        on(first, new BookingEvent.PlatformUnavailable());
        BookingMachine resend = started();
        on(resend, new BookingEvent.PlatformUnavailable());

        assertEquals(
                on(first, peers(true, ClaimResponse.State.NO_RECORD, ClaimResponse.State.NOT_RUN)),
                refused(RefusalReason.PLATFORM_AWAY));
        assertEquals(
                on(resend, peers(true, ClaimResponse.State.RAN)),
                refused(RefusalReason.CLAIM_UNREADABLE));
    }

    @Test
    public void answersFromBeforeAPauseProveNothing() {
        // The peers have no record of the key, but this host is paused before it reads that. The
        // caller gives up, sends again through another host and books. Woken up, this host must
        // not say that the booking did not run.
        BookingMachine call = started();
        on(call, new BookingEvent.PlatformUnavailable());

        assertEquals(
                call.on(peers(true, ClaimResponse.State.NO_RECORD), 501),
                refused(RefusalReason.CLAIM_UNREADABLE));
    }

    @Test
    public void platformAwayIsUnknownIfAHostWasLost() {
        BookingMachine call = started();
        on(call, new BookingEvent.PlatformUnavailable());

        assertEquals(
                on(call, peers(false, ClaimResponse.State.NO_RECORD)),
                refused(RefusalReason.CLAIM_UNREADABLE));
    }

    @Test
    public void timeoutWhileConnectingWaitsForTheWriter() {
        // The caller's deadline passes just as the connection opens. The writer has already
        // written the first byte. Calling it not run on the deadline alone would be false.
        BookingMachine call = held();

        assertEquals(on(call, new BookingEvent.Timeout()), List.of(new BookingEffect.Abort()));
        on(call, new BookingEvent.FirstByteWritten());
        assertEquals(
                on(call, new BookingEvent.FailedAfterFirstByte()),
                List.of(
                        new BookingEffect.RecordOutcome(MINE, ClaimState.UNKNOWN),
                        refused(RefusalReason.BACKEND_FAILED).get(0)));
    }

    @Test
    public void timeoutWhileClaimingFreesTheKey() {
        // The platform is slow and the deadline passes first. The claim may still be kept; unless
        // this host frees it, the caller's next try finds the key taken for a whole day.
        assertTrue(
                on(started(), new BookingEvent.Timeout())
                        .contains(new BookingEffect.RecordOutcome(MINE, ClaimState.NOT_RUN)));
    }

    @Test
    public void triesAnotherBackendOnlyBeforeTheFirstByte() {
        BookingMachine call = held();

        assertEquals(
                on(call, new BookingEvent.ConnectFailedBeforeFirstByte()),
                List.of(new BookingEffect.Dispatch(MINE.attempt(), 2)));
        assertEquals(on(call, new BookingEvent.Connected()), List.of(new BookingEffect.SendCall()));
        assertTrue(on(call, new BookingEvent.ConnectFailedBeforeFirstByte()).isEmpty());
    }

    @Test
    public void firstByteAfterNotRunBreaksAnInvariant() {
        BookingMachine call = held();
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
                        new BookingEffect.RecordOutcome(MINE, ClaimState.NOT_RUN),
                        refused(RefusalReason.PLATFORM_AWAY).get(0)));
    }

    @Test
    public void otherRequestUnderTheKeyIsRefused() {
        assertEquals(
                on(started(), new BookingEvent.ClaimConflict(claim("host-b", "beef"))),
                refused(RefusalReason.KEY_REUSED));
    }

    @Test
    public void lateAnswerIsKeptForResends() {
        // The answer comes after the caller was told that its deadline passed. A resend must get
        // this answer and not run again.
        BookingMachine call = held();
        on(call, new BookingEvent.Connected());

        assertEquals(on(call, new BookingEvent.Timeout()), refused(RefusalReason.DEADLINE_PASSED));
        assertEquals(
                on(call, new BookingEvent.ResponseComplete(ANSWER)),
                List.of(new BookingEffect.RecordOutcome(MINE, ClaimState.RAN)));
        assertEquals(
                call.claimResponse(),
                new ClaimResponse(ClaimResponse.State.RAN, Optional.of(ANSWER)));
    }

    @Test
    public void hostThatSawALossDoesNotDenyAKey() {
        // The host that ran the booking died, and the host asked was started after that. It asks
        // its peers, which never had the key but saw the loss: they must not vouch for the key.
        BookingTable table = new BookingTable(1, 1_000);

        assertEquals(state(table, true, 0), ClaimResponse.State.UNKNOWN);
        assertEquals(state(table, false, 0), ClaimResponse.State.NO_RECORD);
    }

    @Test
    public void droppedCallIsNotDeniedWhileCallersMaySendAgain() {
        BookingTable table = new BookingTable(1, 1_000);
        BookingMachine ran = held();
        on(ran, new BookingEvent.Connected());
        on(ran, new BookingEvent.ResponseComplete(ANSWER));
        table.add(ran, 0);
        table.add(new BookingMachine(claimOf("lot 8"), BookingSettings.DEFAULTS, DEADLINE), 10);

        assertEquals(table.size(), 1);
        assertEquals(state(table, false, 999), ClaimResponse.State.UNKNOWN);
        assertEquals(state(table, false, 1_000), ClaimResponse.State.NO_RECORD);
    }

    private static ClaimResponse.State state(BookingTable table, boolean lost, long now) {
        return table.claimResponse(KEY, Optional.empty(), lost, now).state();
    }

    private static BookingMachine started() {
        BookingMachine call = new BookingMachine(MINE, BookingSettings.DEFAULTS, DEADLINE);
        call.start();
        return call;
    }

    private static BookingMachine held() {
        BookingMachine call = started();
        on(call, new BookingEvent.ClaimWritten());
        return call;
    }

    private static List<BookingEffect> on(BookingMachine call, BookingEvent event) {
        return call.on(event, 0);
    }

    private static BookingEvent answered(ClaimResponse.State state) {
        return new BookingEvent.ClaimHolderResponded(new ClaimResponse(state, Optional.empty()));
    }

    private static BookingEvent peers(boolean complete, ClaimResponse.State... states) {
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
