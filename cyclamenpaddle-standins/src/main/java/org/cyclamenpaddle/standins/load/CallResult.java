package org.cyclamenpaddle.standins.load;

/**
 * Result of one call.
 *
 * @param outcome how it ended
 * @param reason reason code of a refusal or error; empty if none
 * @param firstTokenMicros time to first token, in modelled microseconds; 0 if none came
 * @param meanGapMicros mean time between tokens, in modelled microseconds; 0 below two tokens
 * @param tokens tokens received
 */
record CallResult(
        CallOutcome outcome,
        String reason,
        long firstTokenMicros,
        long meanGapMicros,
        int tokens) {}
