package org.cyclamenpaddle.relay.front;

/**
 * Inputs of the decisions of one search for engine memory, for logs.
 *
 * @param waitMillis maximum duration of the search
 * @param rejects number of engines that had too little free memory
 * @param leftTokens memory that the last check left free for more urgent requests
 * @param unreached number of engines that could not be asked
 */
record SearchInputs(long waitMillis, int rejects, long leftTokens, int unreached) {

    /** Inputs of a request that has not searched for memory. */
    static final SearchInputs NONE = new SearchInputs(0, 0, 0, 0);

    /** Returns whether no engine was asked successfully. */
    boolean reachedNone() {
        return unreached > 0 && rejects == 0;
    }
}
