package org.cyclamenpaddle.relay.backend;

/**
 * An engine's report with the time at which it came.
 *
 * @param report what it said
 * @param receivedMillis reading of the clock at its arrival
 */
public record TimedReport(EngineReport report, long receivedMillis) {

    /** Returns how long ago the report came, in milliseconds. */
    public long ageMillis(long nowMillis) {
        return nowMillis - receivedMillis;
    }
}
