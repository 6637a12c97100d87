package org.cyclamenpaddle.relay.log;

import java.time.Instant;
import java.time.temporal.ChronoUnit;

/**
 * Formats the times of log lines in ISO 8601, with microseconds.
 *
 * <p>A process formats the date and the time of day once a second instead of for each line. Not
 * thread-safe.
 */
final class TimeStamps {

    private static final int NANOS_PER_MICRO = 1_000;
    private static final int MICRO_DIGITS = 6;

    private long mSecond = Long.MIN_VALUE;
    private String mPrefix = "";

    String format(Instant time) {
        if (time.getEpochSecond() != mSecond) {
            mSecond = time.getEpochSecond();
            String second = time.truncatedTo(ChronoUnit.SECONDS).toString();
            mPrefix = second.substring(0, second.length() - 1);
        }
        if (time.getNano() == 0) {
            return mPrefix + "Z";
        }
        String micros = Integer.toString(time.getNano() / NANOS_PER_MICRO);
        return mPrefix + "." + "0".repeat(MICRO_DIGITS - micros.length()) + micros + "Z";
    }
}
