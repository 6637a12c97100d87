package org.cyclamenpaddle.relay.route;

/** Kind of a route; determines whether its requests may be retried. */
public enum RouteKind {
    /** Requests may run more than once. */
    IDEMPOTENT,
    /** Requests run at most once for each attempt of a caller. */
    AT_MOST_ONCE,
    /**
     * Responses are event streams; requests are retried only if the route allows streams to resume.
     */
    STREAM;

    /**
     * Returns whether a request may be sent again after it may have run.
     *
     * @param resumable whether the route allows streams to resume
     */
    public boolean repeatable(boolean resumable) {
        return this == IDEMPOTENT || this == STREAM && resumable;
    }

    /** Returns whether responses are forwarded event by event. */
    public boolean streams() {
        return this == STREAM;
    }
}
