package org.cyclamenpaddle.relay.front;

/**
 * What an engine must have free for a request.
 *
 * @param tokens memory that is kept for the request itself
 * @param growthTokens memory that must be free beside it, so that it and all others can grow
 */
record PlaceNeed(long tokens, long growthTokens) {

    PlaceNeed {
        if (tokens < 0 || growthTokens < 0) {
            throw new IllegalArgumentException(
                    "a place of " + tokens + " tokens and room of " + growthTokens);
        }
    }
}
