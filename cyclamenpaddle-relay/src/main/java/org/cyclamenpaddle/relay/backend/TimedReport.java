package org.cyclamenpaddle.relay.backend;

/**
 * An engine's report with the time at which it came.
 *
 * @param report what it said
 * @param readMillis reading of the clock at its arrival
 */
public record TimedReport(EngineReport report, long readMillis) {

    /** Returns how long ago the report came, in milliseconds. */
    public long ageMillis(long nowMillis) {
        return nowMillis - readMillis;
    }
}
