package org.cyclamenpaddle.routing.request;

import org.cyclamenpaddle.core.id.AttemptId;
import org.cyclamenpaddle.core.id.BackendId;

/**
 * The prefill or the decode part of a placement.
 *
 * @param attempt the attempt that runs it
 * @param choice the chosen backend server
 * @param readyAtMillis promised or predicted end of its work, by this host's clock
 */
record PlacedAttempt(AttemptId attempt, Choice choice, long readyAtMillis) {

    BackendId backend() {
        return choice.backend();
    }

    PlacedAttempt readyAtMillis(long millis) {
        return new PlacedAttempt(attempt, choice, millis);
    }
}
