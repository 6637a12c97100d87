package org.cyclamenpaddle.fleet.recovery;

import org.cyclamenpaddle.core.id.AttemptId;

/** What the process has to do on behalf of an {@link AttemptReconciler}. */
public sealed interface RecoveryEffect {

    /**
     * Cancel an attempt on the engine; emitted again as long as the engine lists it.
     *
     * @param attempt the attempt
     */
    record Cancel(AttemptId attempt) implements RecoveryEffect {}

    /**
     * Free the room that the ledger keeps for an attempt.
     *
     * @param attempt the attempt
     */
    record ReleaseGrant(AttemptId attempt) implements RecoveryEffect {}
}
