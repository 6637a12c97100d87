package org.cyclamenpaddle.fleet.claim;

import org.cyclamenpaddle.core.message.ClaimResponse.StoredResponse;
import org.cyclamenpaddle.core.outcome.Refusal;
import org.cyclamenpaddle.core.outcome.RunOutcome;

/** Reply to the caller of a booking. */
public sealed interface BookingReply {

    /** Returns the outcome of the call, as reported to the caller. */
    RunOutcome outcome();

    /**
     * The call ran, and this is its response.
     *
     * @param response the backend server's response
     * @param replayed whether it was stored by an earlier call with the key
     */
    record Completed(StoredResponse response, boolean replayed) implements BookingReply {

        @Override
        public RunOutcome outcome() {
            return RunOutcome.RAN;
        }
    }

    /**
     * There is no response; the reason states whether the call ran.
     *
     * @param refusal the refusal
     */
    record Refused(Refusal refusal) implements BookingReply {

        @Override
        public RunOutcome outcome() {
            return refusal.reason().outcome();
        }
    }
}
