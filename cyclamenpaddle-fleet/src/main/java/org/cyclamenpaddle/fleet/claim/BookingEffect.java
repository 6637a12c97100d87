package org.cyclamenpaddle.fleet.claim;

import org.cyclamenpaddle.core.id.AttemptId;
import org.cyclamenpaddle.core.id.Incarnation;
import org.cyclamenpaddle.core.message.ClaimRequest;

/** What the process has to do on behalf of a {@link BookingMachine}. */
public sealed interface BookingEffect {

    /**
     * Have the claim written by {@link ClaimShard#claim}.
     *
     * @param claim the claim
     */
    record WriteClaim(ClaimRecord claim) implements BookingEffect {}

    /**
     * Read the claim under a key back.
     *
     * @param key the key
     */
    record ReadClaim(ClaimKey key) implements BookingEffect {}

    /**
     * Choose a backend server and connect.
     *
     * @param attempt the attempt, the same for each try
     * @param tryNumber 1 for the first; a further try should choose another backend server
     */
    record Dispatch(AttemptId attempt, int tryNumber) implements BookingEffect {}

    /** Write the call on the open connection. */
    record SendCall() implements BookingEffect {}

    /**
     * Give up connecting; report {@link BookingEvent.ConnectFailedBeforeFirstByte} if nothing was
     * written, else {@link BookingEvent.FailedAfterFirstByte}.
     */
    record Abort() implements BookingEffect {}

    /**
     * Ask the holder of the claim what became of the call; this very host may be the holder.
     *
     * @param holder the incarnation that holds the claim
     * @param ask the ask
     */
    record QueryClaimHolder(Incarnation holder, ClaimRequest request) implements BookingEffect {}

    /**
     * Ask every host of the view, this one too, what it knows of the key; report by {@link
     * BookingEvent.PeersResponded} within a fraction of a second.
     *
     * @param ask the ask
     */
    record QueryPeers(ClaimRequest request) implements BookingEffect {}

    /**
     * Have the outcome written by {@link ClaimShard#outcome}, in the background until it is kept.
     *
     * @param claim the claim of this attempt
     * @param outcome its new state
     */
    record RecordOutcome(ClaimRecord claim, ClaimState outcome) implements BookingEffect {}

    /**
     * Send {@link BookingEvent.Wake} at a time.
     *
     * @param millis reading of this host's clock
     */
    record WakeAt(long millis) implements BookingEffect {}

    /**
     * Answer the caller; emitted exactly once.
     *
     * @param reply what it is told
     */
    record Reply(BookingReply reply) implements BookingEffect {}
}
