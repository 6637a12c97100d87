package org.cyclamenpaddle.relay.directive;

/** Kind of a directive, for logs and metrics. */
public enum DirectiveKind {
    /** Maximum rate of requests from all hosts, in requests per second. */
    LIMIT,
    /** Time for which a server wants no request of this host, in milliseconds. */
    PAUSE,
    /** The server announces its shutdown and takes no new work. */
    LEAVING
}
