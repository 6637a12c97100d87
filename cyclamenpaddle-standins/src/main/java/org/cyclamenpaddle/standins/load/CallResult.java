package org.cyclamenpaddle.standins.load;

/**
 * Result of one call.
 *
 * @param outcome outcome
 * @param reason reason code of a rejection or error; empty if none
 * @param firstTokenMicros time to first token, in modelled microseconds; 0 without tokens
 * @param meanGapMicros mean inter-token latency, in modelled microseconds; 0 below two tokens
 * @param tokens verified tokens received
 */
record CallResult(
        CallOutcome outcome,
        String reason,
        long firstTokenMicros,
        long meanGapMicros,
        int tokens) {}
