package org.cyclamenpaddle.standins.load;

import org.cyclamenpaddle.standins.engine.EngineSettings;

/** Calculates the request rate that a decode pool sustains with all slots in use. */
final class PoolCapacity {

    private static final double MILLIS_PER_SECOND = 1_000;

    private PoolCapacity() {}

    /**
     * Returns the capacity in requests per modelled second.
     *
     * @param engine settings of each decode engine
     * @param engines number of decode engines
     * @param answerTokens mean completion length in tokens
     */
    static double perSecond(EngineSettings engine, int engines, int answerTokens) {
        double answerMillis = answerTokens * engine.stepMillis(engine.slots());
        return engines * engine.slots() * MILLIS_PER_SECOND / answerMillis;
    }
}
