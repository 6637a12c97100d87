package org.cyclamenpaddle.routing.connectivity;

/** Result of a connection that was opened to check a path. */
public enum CheckResult {
    /** The connection was established. */
    CONNECTED,
    /** The connection was refused or not established in time. */
    FAILED,
    /** This host was too slow to tell, for example because it was suspended. */
    INCONCLUSIVE
}
