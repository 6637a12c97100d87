package org.cyclamenpaddle.relay.front;

/** Search for the backend server that gets one request; it reports its result to a listener. */
interface BackendSearch {

    /** Starts the search, or continues it. */
    void find();

    /** Cancels the search because the request has ended; nothing is reported any more. */
    void cancel();
}
