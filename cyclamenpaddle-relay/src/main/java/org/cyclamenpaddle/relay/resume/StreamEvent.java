package org.cyclamenpaddle.relay.resume;

/** Events around streams that callers may take up, for metrics. */
public enum StreamEvent {
    /** A stream has begun. */
    BEGUN,
    /** A stream has begun at a server whose software version is not certain. */
    BEGUN_UNPROVED,
    /** A stream is taken up, and this host knows where it began. */
    KNOWN_HERE,
    /** A stream is taken up, and another host knows where it began. */
    KNOWN_ELSEWHERE,
    /** A stream is not resumed, since no host that was asked knows where it began. */
    VERSION_UNKNOWN,
    /** A stream is not resumed, since no other server of its version serves. */
    VERSION_GONE,
    /** A stream is not resumed, since the version of no server is certain. */
    VERSION_UNPROVED
}
