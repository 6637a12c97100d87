package org.cyclamenpaddle.fleet.recovery;

import org.cyclamenpaddle.core.id.AttemptId;

/** Actions that the process performs on behalf of an {@link AttemptReconciler}. */
public sealed interface RecoveryEffect {

    /**
     * Cancel an attempt on the engine; emitted again as long as the engine lists it.
     *
     * @param attempt the attempt
     */
    record Cancel(AttemptId attempt) implements RecoveryEffect {}

    /**
     * Release the reservation of an attempt in the ledger.
     *
     * @param attempt the attempt
     */
    record ReleaseGrant(AttemptId attempt) implements RecoveryEffect {}
}
