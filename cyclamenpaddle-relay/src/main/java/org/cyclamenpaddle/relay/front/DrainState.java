package org.cyclamenpaddle.relay.front;

/** State of a planned stop, as far as admission depends on it. */
public interface DrainState {

    /** Returns whether the host is in a planned stop. */
    boolean isStopping();

    /**
     * Returns whether a request is accepted now.
     *
     * <p>Safeguard: a load balancer without a better host keeps sending requests, and callers keep
     * their connections open. A generation that starts late in the grace period would be cut off at
     * its end, so it is refused while its caller can still go to another host. A plain call is
     * accepted for longer if it ends before that in any case, also at a silent server.
     *
     * <p>What may not be repeated is accepted only if it ends before the process in any case: its
     * caller could not send it again after it was cut off.
     *
     * @param streams whether the response is a stream
     * @param repeatable whether the request may be sent again after it may have run
     * @param maxMillis time after which the request has ended in any case, in milliseconds
     */
    boolean accepts(boolean streams, boolean repeatable, long maxMillis);
}
