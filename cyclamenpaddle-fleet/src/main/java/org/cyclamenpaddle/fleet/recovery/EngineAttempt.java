package org.cyclamenpaddle.fleet.recovery;

import org.cyclamenpaddle.core.id.AttemptId;

/**
 * An attempt listed by an engine.
 *
 * @param attempt its identifier, which contains the incarnation that started it
 * @param pieces KV cache blocks that it occupies
 * @param ended whether it has ended
 */
public record EngineAttempt(AttemptId attempt, int pieces, boolean ended) {

    public EngineAttempt {
        if (attempt == null || pieces < 0) {
            throw new IllegalArgumentException(
                    "attempt needs an identifier and at least 0 pieces: attempt "
                            + attempt
                            + " with "
                            + pieces
                            + " pieces");
        }
    }

    /** Returns whether it still occupies resources of the engine. */
    public boolean holdsResources() {
        return !ended || pieces > 0;
    }
}
