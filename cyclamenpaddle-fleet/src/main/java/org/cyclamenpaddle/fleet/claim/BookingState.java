package org.cyclamenpaddle.fleet.claim;

/** States of a {@link BookingMachine}. */
enum BookingState {
    NEW,
    CLAIMING,
    READING_CLAIM,
    /** Another attempt holds the key, and its host is being queried. */
    QUERYING_HOLDER,
    /** No claim can be obtained, and all hosts are being queried about the key. */
    QUERYING_PEERS,
    DISPATCHING,
    /** The deadline expired while connecting; the writer must report whether a byte was sent. */
    ABORTING,
    SENT,
    RAN,
    NOT_RUN,
    UNKNOWN,
    /** Another attempt holds the key, and the caller got its known outcome. */
    CLAIMED_ELSEWHERE;

    /** Returns whether this state is terminal. */
    boolean terminal() {
        return compareTo(RAN) >= 0;
    }
}
