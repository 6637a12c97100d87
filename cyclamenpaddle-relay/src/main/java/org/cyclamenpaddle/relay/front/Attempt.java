package org.cyclamenpaddle.relay.front;

import org.cyclamenpaddle.relay.backend.SendOutcome;

/** One attempt to run a request, at a backend server or through another host. */
interface Attempt {

    /**
     * Cancels the attempt, whose outcome is no evidence about the server.
     *
     * @return how far it had come
     */
    SendOutcome cancel();

    /**
     * Cancels the attempt at the request's timeout.
     *
     * @return how far it had come
     */
    SendOutcome timeOut();

    /** Returns the server or host for logs. */
    String targetName();

    /** Returns the time since its start, in milliseconds. */
    long elapsedMillis();
}
