package org.cyclamenpaddle.routing.request;

import org.cyclamenpaddle.core.id.AttemptId;
import org.cyclamenpaddle.core.id.BackendId;

/**
 * One half of a placement.
 *
 * @param attempt the attempt that stands for it
 * @param choice what was chosen
 * @param readyAt by this host's clock, when its work is promised or predicted to be done
 */
record Placed(AttemptId attempt, Choice choice, long readyAt) {

    BackendId backend() {
        return choice.backend();
    }

    Placed readyAt(long millis) {
        return new Placed(attempt, choice, millis);
    }
}
