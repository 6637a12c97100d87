package org.cyclamenpaddle.fleet.drain;

import org.cyclamenpaddle.core.id.BackendId;

/** Actions that the owner of a ledger performs on behalf of {@link BackendDrain}. */
public sealed interface DrainEffect {

    /**
     * Stop granting reservations, and withdraw reservations whose work has not started.
     *
     * @param backend the backend server
     */
    record CloseLedger(BackendId backend) implements DrainEffect {}

    /**
     * The backend server is idle; it may be changed or shut down.
     *
     * @param backend the backend server
     */
    record Drained(BackendId backend) implements DrainEffect {}

    /**
     * Resume granting reservations.
     *
     * @param backend the backend server
     */
    record OpenLedger(BackendId backend) implements DrainEffect {}
}
