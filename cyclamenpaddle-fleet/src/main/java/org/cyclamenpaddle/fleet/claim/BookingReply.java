package org.cyclamenpaddle.fleet.claim;

import org.cyclamenpaddle.core.message.ClaimResponse.StoredResponse;
import org.cyclamenpaddle.core.outcome.Refusal;
import org.cyclamenpaddle.core.outcome.RunOutcome;

/** What the caller of a keyed call is told. */
public sealed interface BookingReply {

    /** Returns what the caller learns about whether the call ran. */
    RunOutcome outcome();

    /**
     * The call ran, and this is its answer.
     *
     * @param answer the backend server's response
     * @param replayed whether it was kept from an earlier call under the key
     */
    record Completed(StoredResponse response, boolean replayed) implements BookingReply {

        @Override
        public RunOutcome outcome() {
            return RunOutcome.RAN;
        }
    }

    /**
     * There is no answer; the reason says whether the call ran.
     *
     * @param refusal why
     */
    record Refused(Refusal refusal) implements BookingReply {

        @Override
        public RunOutcome outcome() {
            return refusal.reason().outcome();
        }
    }
}
