package org.cyclamenpaddle.core.message;

/** Decision of a ledger's owner on a {@link GrantRequest}. */
public enum GrantDecision {
    /** The capacity is reserved from the stated time on. */
    GRANTED,
    /** The capacity becomes available too late; the response states when. */
    TOO_LATE,
    /** The request exceeds the total capacity of the backend server. */
    TOO_BIG,
    /** The backend server is draining, not assigned or unreachable. */
    UNAVAILABLE,
    /** The receiver does not own this ledger according to its view of the hosts. */
    NOT_OWNER
}
