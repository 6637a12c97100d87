package org.cyclamenpaddle.core.message;

/** What an owner decided on a {@link GrantRequest}. */
public enum GrantDecision {
    /** The room is promised from the stated time on. */
    GRANTED,
    /** The room would come too late; the stated time says when it would. */
    TOO_LATE,
    /** The backend server never has that much room. */
    TOO_BIG,
    /** The backend server is leaving, not assigned or not reached. */
    UNAVAILABLE,
    /** The receiver does not own this ledger by its own view of the hosts. */
    NOT_OWNER
}
