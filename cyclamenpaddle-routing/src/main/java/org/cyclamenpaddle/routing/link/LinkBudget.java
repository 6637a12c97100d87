package org.cyclamenpaddle.routing.link;

import org.cyclamenpaddle.core.id.AttemptId;
import org.cyclamenpaddle.routing.schedule.Interval;
import org.cyclamenpaddle.routing.schedule.SerialSchedule;

/**
 * Timed reservations of a link with limited bandwidth; transfers run one after another at the full
 * rate.
 *
 * <p>Two concurrent transfers would each take as long as both in sequence, and the result of the
 * first could be evicted before its transfer ends. Not thread-safe.
 */
public final class LinkBudget {

    private static final long MILLIS_PER_SECOND = 1_000;

    private final long mBytesPerSecond;
    private final SerialSchedule<AttemptId> mSchedule = new SerialSchedule<>();

    /**
     * Creates a budget without reservations.
     *
     * @param bytesPerSecond bandwidth of the link; 0 for unlimited
     */
    public LinkBudget(long bytesPerSecond) {
        if (bytesPerSecond < 0) {
            throw new IllegalArgumentException("link rate " + bytesPerSecond + " is negative");
        }
        mBytesPerSecond = bytesPerSecond;
    }

    /** Returns the transfer time of {@code bytes} at the full rate, in milliseconds, rounded up. */
    public long transferMillis(long bytes) {
        return transferMillis(bytes, mBytesPerSecond);
    }

    /**
     * Returns the transfer time of {@code bytes} at a rate; 0 if the rate is 0, which means
     * unlimited.
     */
    public static long transferMillis(long bytes, long bytesPerSecond) {
        if (bytesPerSecond == 0) {
            return 0;
        }
        return (bytes * MILLIS_PER_SECOND + bytesPerSecond - 1) / bytesPerSecond;
    }

    /**
     * Returns the interval that a transfer would get.
     *
     * @param fromMillis earliest time at which the bytes are available
     * @param bytes size of the transfer
     */
    public Interval preview(long fromMillis, long bytes) {
        long duration = transferMillis(bytes);
        long start = mSchedule.earliest(fromMillis, duration);
        return new Interval(start, start + duration);
    }

    /**
     * Reserves the link for a transfer; an existing reservation of the attempt is returned
     * unchanged.
     *
     * @param attempt attempt whose result is transferred
     * @param fromMillis earliest time at which the bytes are available
     * @param bytes size of the transfer
     */
    public Interval reserve(AttemptId attempt, long fromMillis, long bytes) {
        return mSchedule.reserve(attempt, fromMillis, transferMillis(bytes));
    }

    /** Releases the reservation of {@code attempt}, if any. */
    public void release(AttemptId attempt) {
        mSchedule.release(attempt);
    }

    /** Returns the end of the last reserved transfer, or {@code nowMillis} if it has passed. */
    public long freeAt(long nowMillis) {
        return mSchedule.endOfLast(nowMillis);
    }
}
