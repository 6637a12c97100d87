package org.cyclamenpaddle.fleet.recovery;

import org.cyclamenpaddle.core.id.AttemptId;

/**
 * One attempt as an engine lists it.
 *
 * @param attempt its id, which names the incarnation that stands for it
 * @param pieces memory pieces that it holds
 * @param ended whether it ended by itself
 */
public record EngineAttempt(AttemptId attempt, int pieces, boolean ended) {

    public EngineAttempt {
        if (attempt == null || pieces < 0) {
            throw new IllegalArgumentException(
                    "attempt " + attempt + " with " + pieces + " pieces is malformed");
        }
    }

    /** Returns whether it still costs the engine anything. */
    public boolean holdsResources() {
        return !ended || pieces > 0;
    }
}
