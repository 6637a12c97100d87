package org.cyclamenpaddle.fleet.claim;

import java.util.List;
import java.util.Optional;
import org.cyclamenpaddle.core.message.ClaimResponse;
import org.cyclamenpaddle.core.message.ClaimResponse.StoredResponse;

/** Input events of a {@link BookingMachine}. */
public sealed interface BookingEvent {

    /** The platform has stored the claim of this attempt. */
    record ClaimWritten() implements BookingEvent {}

    /**
     * The key is already claimed.
     *
     * @param existing the stored claim
     */
    record ClaimConflict(ClaimRecord existing) implements BookingEvent {}

    /** The claim was sent, and the response was lost. */
    record ClaimResponseLost() implements BookingEvent {}

    /**
     * The claim of the key was read back.
     *
     * @param existing the stored claim, if any
     */
    record ClaimRead(Optional<ClaimRecord> existing) implements BookingEvent {}

    /**
     * No claim can be obtained: the platform is unavailable.
     *
     * <p>The sender of this event releases a claim that may have been written, unless it reported
     * {@link ClaimResponseLost} before.
     */
    record PlatformUnavailable() implements BookingEvent {}

    /** A connection to a backend server is open and nothing has been written to it. */
    record Connected() implements BookingEvent {}

    /** The connection could not be opened; provably no byte of the call was sent. */
    record ConnectFailedBeforeFirstByte() implements BookingEvent {}

    /**
     * The first byte is about to be written.
     *
     * <p>Must be reported before the byte is handed to the socket. Not required after {@link
     * Connected}.
     */
    record FirstByteWritten() implements BookingEvent {}

    /**
     * The complete response was received.
     *
     * @param response the response
     */
    record ResponseComplete(StoredResponse response) implements BookingEvent {}

    /** The call failed after its first byte may have been sent. */
    record FailedAfterFirstByte() implements BookingEvent {}

    /**
     * The host that holds the claim reported the outcome of the call.
     *
     * @param response its response
     */
    record ClaimHolderResponded(ClaimResponse response) implements BookingEvent {}

    /** The host that holds the claim did not respond, or is dead. */
    record ClaimHolderUnreachable() implements BookingEvent {}

    /**
     * The peers reported their records of the key.
     *
     * @param states the state that each queried host reports, including other calls of this host
     * @param complete whether every host of the view responded, in the incarnation that the view
     *     contains, and no host was lost recently ({@code Membership.hostLostWithin})
     */
    record PeersResponded(List<ClaimResponse.State> states, boolean complete)
            implements BookingEvent {

        public PeersResponded {
            states = List.copyOf(states);
        }

        /** Returns whether provably no call with the key has run or is running on any host. */
        boolean provesUnused() {
            return complete
                    && states.stream()
                            .allMatch(
                                    state ->
                                            state == ClaimResponse.State.NO_RECORD
                                                    || state == ClaimResponse.State.NOT_RUN);
        }
    }

    /** The time requested by {@link BookingEffect.ScheduleTimer} was reached. */
    record TimerExpired() implements BookingEvent {}

    /** The caller's deadline expired. */
    record Timeout() implements BookingEvent {}
}
