package org.cyclamenpaddle.fleet.claim;

/** States of a {@link BookingMachine}. */
enum BookingState {
    NEW,
    CLAIMING,
    READING_BACK,
    /** Another attempt holds the key, and its host is asked. */
    ASKING,
    /** No claim can be had, and all hosts are asked about the key. */
    ASKING_PEERS,
    DISPATCHING,
    /** The deadline passed while connecting; the writer has to say whether a byte left. */
    ABORTING,
    SENT,
    RAN,
    NOT_RUN,
    UNKNOWN,
    /** Another attempt holds the key, and the caller was told what is known of it. */
    FOREIGN;

    /** Returns whether nothing more is awaited. */
    boolean last() {
        return compareTo(RAN) >= 0;
    }
}
