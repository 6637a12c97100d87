package org.cyclamenpaddle.fleet.claim;

import java.util.List;
import java.util.Optional;
import org.cyclamenpaddle.core.message.ClaimResponse;
import org.cyclamenpaddle.core.message.ClaimResponse.StoredResponse;

/** What may happen to a {@link BookingMachine}. */
public sealed interface BookingEvent {

    /** The platform keeps the claim of this attempt. */
    record ClaimWritten() implements BookingEvent {}

    /**
     * The key is claimed already.
     *
     * @param existing the claim that stands
     */
    record ClaimConflict(ClaimRecord existing) implements BookingEvent {}

    /** The claim was sent, and no answer came. */
    record ClaimResponseLost() implements BookingEvent {}

    /**
     * The claim under the key was read back.
     *
     * @param existing the claim that stands, if any
     */
    record ClaimRead(Optional<ClaimRecord> existing) implements BookingEvent {}

    /**
     * No claim can be had now: the platform is away.
     *
     * <p>Whoever tells this frees a claim that may have been sent, unless it told {@link
     * ClaimResponseLost} before.
     */
    record PlatformUnavailable() implements BookingEvent {}

    /** A connection to a backend server is open and nothing was written on it yet. */
    record Connected() implements BookingEvent {}

    /** No connection was had; provably no byte of the call left. */
    record ConnectFailedBeforeFirstByte() implements BookingEvent {}

    /**
     * The first byte is about to be written.
     *
     * <p>To be told before the byte is handed to the socket. Not needed after {@link Connected}.
     */
    record FirstByteWritten() implements BookingEvent {}

    /**
     * The whole response came.
     *
     * @param answer the response
     */
    record ResponseComplete(StoredResponse response) implements BookingEvent {}

    /** The call failed after its first byte may have left. */
    record FailedAfterFirstByte() implements BookingEvent {}

    /**
     * The host that holds the claim said what became of the call.
     *
     * @param answer what it said
     */
    record ClaimHolderResponded(ClaimResponse response) implements BookingEvent {}

    /** The host that holds the claim did not answer, or is dead. */
    record ClaimHolderUnreachable() implements BookingEvent {}

    /**
     * The peers said what they know of the key.
     *
     * @param states what each host asked knows, this one's other calls among them
     * @param complete whether every host of the view answered, in the life in which the view has
     *     it, and no host was lost lately ({@code Membership.hostLostWithin})
     */
    record PeersResponded(List<ClaimResponse.State> states, boolean complete)
            implements BookingEvent {

        public PeersResponded {
            states = List.copyOf(states);
        }

        /** Returns whether no call under the key has run or may be running on any host. */
        boolean provesUnused() {
            return complete
                    && states.stream()
                            .allMatch(
                                    state ->
                                            state == ClaimResponse.State.NO_RECORD
                                                    || state == ClaimResponse.State.NOT_RUN);
        }
    }

    /** The time named by {@link BookingEffect.WakeAt} has come. */
    record Wake() implements BookingEvent {}

    /** The caller's deadline passed. */
    record Timeout() implements BookingEvent {}
}
