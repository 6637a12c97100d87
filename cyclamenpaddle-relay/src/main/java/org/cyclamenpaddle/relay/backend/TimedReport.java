package org.cyclamenpaddle.relay.backend;

/**
 * An engine's report with its time of arrival.
 *
 * @param report the report
 * @param receivedMillis steady clock time of its arrival, in milliseconds
 */
public record TimedReport(EngineReport report, long receivedMillis) {

    /** Returns the time since the report arrived, in milliseconds. */
    public long ageMillis(long nowMillis) {
        return nowMillis - receivedMillis;
    }
}
