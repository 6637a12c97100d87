package org.cyclamenpaddle.relay.front;

/** What the front has to know of a planned stop. */
public interface DrainState {

    /** Returns whether the host is in a planned stop. */
    boolean isStopping();

    /**
     * Returns whether a request that arrives now is still taken.
     *
     * <p>Safeguard: a balancer that has no better host goes on sending, and callers keep their
     * connections. A generation that begins late in the grace is cut off by its end; it is refused
     * while its caller can still go elsewhere. Calls are short and are taken for longer.
     *
     * @param streams whether its answer is a stream
     */
    boolean accepts(boolean streams);
}
