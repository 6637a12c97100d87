package org.cyclamenpaddle.routing.grant;

import org.cyclamenpaddle.core.config.BackendRole;
import org.cyclamenpaddle.core.id.AttemptId;

/**
 * An entry of an engine's own list of attempts.
 *
 * @param attempt the attempt
 * @param role its role on the engine
 * @param pieces KV cache blocks that it holds
 * @param ended whether it no longer holds a slot
 */
public record ObservedAttempt(AttemptId attempt, BackendRole role, int pieces, boolean ended) {

    public ObservedAttempt {
        if (attempt == null || role == null || pieces < 0) {
            throw new IllegalArgumentException(
                    "observed attempt "
                            + attempt
                            + " without id or role, or with invalid pieces "
                            + pieces);
        }
    }
}
