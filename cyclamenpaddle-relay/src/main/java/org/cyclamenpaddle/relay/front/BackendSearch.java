package org.cyclamenpaddle.relay.front;

import java.util.Optional;

/** Search for the backend server that gets one request; it reports its result to a listener. */
interface BackendSearch {

    /** Starts the search, or continues it. */
    void find();

    /** Cancels the search because the request has ended; nothing is reported any more. */
    void cancel();

    /** Returns the inputs of its decisions, for logs; empty if it waits for no memory. */
    default Optional<SearchInputs> inputs() {
        return Optional.empty();
    }
}
