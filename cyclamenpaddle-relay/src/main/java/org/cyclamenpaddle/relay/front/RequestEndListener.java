package org.cyclamenpaddle.relay.front;

/** Notified once when a request has ended. */
interface RequestEndListener {

    /**
     * Called at the end of the request.
     *
     * @param mayHaveRun whether a backend server may have run it
     */
    void ended(boolean mayHaveRun);
}
