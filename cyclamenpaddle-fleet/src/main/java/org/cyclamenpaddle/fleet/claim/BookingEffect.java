package org.cyclamenpaddle.fleet.claim;

import org.cyclamenpaddle.core.id.AttemptId;
import org.cyclamenpaddle.core.id.Incarnation;
import org.cyclamenpaddle.core.message.ClaimRequest;

/** Actions that the process performs on behalf of a {@link BookingMachine}. */
public sealed interface BookingEffect {

    /**
     * Write the claim through {@link ClaimShard#claim}.
     *
     * @param claim the claim
     */
    record WriteClaim(ClaimRecord claim) implements BookingEffect {}

    /**
     * Read back the claim of a key.
     *
     * @param key the key
     */
    record ReadClaim(ClaimKey key) implements BookingEffect {}

    /**
     * Choose a backend server and connect.
     *
     * @param attempt the attempt, the same for every try
     * @param tryNumber 1 for the first; a further try should choose another backend server
     */
    record Dispatch(AttemptId attempt, int tryNumber) implements BookingEffect {}

    /** Write the call on the open connection. */
    record SendCall() implements BookingEffect {}

    /**
     * Abort the connection attempt; report {@link BookingEvent.ConnectFailedBeforeFirstByte} if
     * nothing was written, else {@link BookingEvent.FailedAfterFirstByte}.
     */
    record Abort() implements BookingEffect {}

    /**
     * Query the holder of the claim for the outcome of the call; this host itself may be the
     * holder.
     *
     * @param holder the incarnation that holds the claim
     * @param request the request
     */
    record QueryClaimHolder(Incarnation holder, ClaimRequest request) implements BookingEffect {}

    /**
     * Query every host of the view, including this one, for its record of the key; report by {@link
     * BookingEvent.PeersResponded} within a fraction of a second.
     *
     * @param request the request
     */
    record QueryPeers(ClaimRequest request) implements BookingEffect {}

    /**
     * Write the outcome through {@link ClaimShard#outcome}, in the background until it is stored.
     *
     * @param claim the claim of this attempt
     * @param outcome its new state
     */
    record RecordOutcome(ClaimRecord claim, ClaimState outcome) implements BookingEffect {}

    /**
     * Schedule {@link BookingEvent.TimerExpired}.
     *
     * @param millis reading of this host's clock
     */
    record ScheduleTimer(long millis) implements BookingEffect {}

    /**
     * Reply to the caller; emitted exactly once.
     *
     * @param reply the reply
     */
    record Reply(BookingReply reply) implements BookingEffect {}
}
