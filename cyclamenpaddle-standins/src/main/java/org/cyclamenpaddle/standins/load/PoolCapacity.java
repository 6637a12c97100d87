package org.cyclamenpaddle.standins.load;

import org.cyclamenpaddle.standins.engine.EngineSettings;

/** Requests that a decode pool can sustain with all its slots in use. */
final class PoolCapacity {

    private static final double MILLIS_PER_SECOND = 1_000;

    private PoolCapacity() {}

    /**
     * Returns the capacity in requests for each modelled second.
     *
     * @param engine settings of each decode engine
     * @param engines decode engines
     * @param answerTokens mean length of an answer
     */
    static double perSecond(EngineSettings engine, int engines, int answerTokens) {
        double answerMillis = answerTokens * engine.stepMillis(engine.slots());
        return engines * engine.slots() * MILLIS_PER_SECOND / answerMillis;
    }
}
