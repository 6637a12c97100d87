package org.cyclamenpaddle.core.message;

/** State of a host in the view of another host. */
public enum HostState {
    /** Heard from recently. */
    ALIVE,
    /** Silent; its failure is being confirmed through other hosts and by a new connection. */
    SUSPECT,
    /** In a planned stop; still responds but owns no ledgers. */
    LEAVING,
    /** Confirmed unreachable, or has left the fleet. */
    DEAD
}
