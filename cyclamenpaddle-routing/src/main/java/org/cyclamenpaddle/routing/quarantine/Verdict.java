package org.cyclamenpaddle.routing.quarantine;

/** Decision whether a request may run on a backend server. */
public enum Verdict {
    /** The request may run there. */
    MAY_RUN,
    /**
     * Not on this server, which crashed with the request before or runs another request with a
     * strike.
     */
    OTHER_BACKEND,
    /** On no server until its strikes have expired. */
    QUARANTINED
}
