package org.cyclamenpaddle.relay.crash;

/** What shows that the process of a backend server has ended. */
enum CrashEvidence {
    /** Its machine refused a new connection. */
    CONNECTION_REFUSED,
    /** Another incarnation is listed at its address or under its id. */
    REPLACED,
    /** Its entry disappeared from the store, although it had not announced its shutdown. */
    ENTRY_REMOVED
}
