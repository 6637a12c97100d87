package org.cyclamenpaddle.relay.crash;

/** Kinds of event that are counted around the ends of backend servers. */
enum CrashEvent {
    /** A connection ended within a response. */
    SUSPECTED,
    /** A server ended under a request. */
    ATTRIBUTED,
    /** A request was quarantined by strikes that this host counted. */
    QUARANTINED,
    /** Another host reported that a request is quarantined. */
    LEARNED,
    /** A request was refused because it is quarantined. */
    REFUSED,
    /** This host found a part of prompts under which servers end. */
    PART_FOUND,
    /** This host rejected the quarantine of a part that has run well here. */
    PART_REJECTED,
    /** A quarantine ended because its time was over. */
    EXPIRED,
    /** A quarantine ended because the request ran to its end. */
    CLEARED
}
