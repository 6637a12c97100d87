package org.cyclamenpaddle.routing.grant;

import org.cyclamenpaddle.core.config.BackendRole;
import org.cyclamenpaddle.core.id.AttemptId;

/**
 * One entry of an engine's own list of attempts.
 *
 * @param attempt the attempt
 * @param role what it does on the engine
 * @param pieces memory pieces that it holds
 * @param ended whether it holds no slot any more
 */
public record ObservedAttempt(AttemptId attempt, BackendRole role, int pieces, boolean ended) {

    public ObservedAttempt {
        if (attempt == null || role == null || pieces < 0) {
            throw new IllegalArgumentException(
                    "observed attempt " + attempt + " lacks its role or holds " + pieces);
        }
    }
}
