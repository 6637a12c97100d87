package org.cyclamenpaddle.relay.route;

/** What the kind of a route says about repeating its requests. */
public enum RouteKind {
    /** Requests may run more than once. */
    IDEMPOTENT,
    /** Requests run at most once for each attempt of a caller. */
    AT_MOST_ONCE,
    /** Answers are streams of events; repeated only where the route lets them be resumed. */
    STREAM;

    /**
     * Returns whether a request may be sent again after it may have run.
     *
     * @param resumable whether the route lets streams be resumed
     */
    public boolean repeatable(boolean resumable) {
        return this == IDEMPOTENT || this == STREAM && resumable;
    }

    /** Returns whether answers are forwarded event by event. */
    public boolean streams() {
        return this == STREAM;
    }
}
