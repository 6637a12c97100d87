package org.cyclamenpaddle.routing.quarantine;

/** Whether a request may run on a backend server. */
public enum Verdict {
    /** It may. */
    MAY_RUN,
    /** Not there: the server died with it before, or runs another struck request. */
    OTHER_BACKEND,
    /** Nowhere, until its strikes have expired. */
    QUARANTINED
}
