package org.cyclamenpaddle.relay.handover;

/** Events around requests that are handed over, for counters. */
public enum HandoverEvent {
    /** A request of a caller of this host was sent to another host. */
    HANDED_OVER,
    /** Another host has not taken it. */
    REFUSED,
    /** No host was left to take it, and its caller was refused. */
    NO_HOST,
    /** A request of another host was taken. */
    TAKEN,
    /** A request of another host was not taken. */
    TURNED_AWAY
}
