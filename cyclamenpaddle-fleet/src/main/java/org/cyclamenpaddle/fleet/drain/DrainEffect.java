package org.cyclamenpaddle.fleet.drain;

import org.cyclamenpaddle.core.id.BackendId;

/** What the owner of a ledger has to do on behalf of {@link BackendDrain}. */
public sealed interface DrainEffect {

    /**
     * Give no new grants, and withdraw promises of room that no work has begun to use.
     *
     * @param backend the backend server
     */
    record CloseLedger(BackendId backend) implements DrainEffect {}

    /**
     * Nothing runs on the backend server any more; it may be changed or switched off.
     *
     * @param backend the backend server
     */
    record Drained(BackendId backend) implements DrainEffect {}

    /**
     * Give grants again.
     *
     * @param backend the backend server
     */
    record OpenLedger(BackendId backend) implements DrainEffect {}
}
