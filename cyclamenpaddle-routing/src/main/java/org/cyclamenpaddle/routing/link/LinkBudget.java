package org.cyclamenpaddle.routing.link;

import org.cyclamenpaddle.core.id.AttemptId;
import org.cyclamenpaddle.routing.schedule.Interval;
import org.cyclamenpaddle.routing.schedule.SerialSchedule;

/**
 * Timed reservations of a link with a limited rate; transfers follow one another at the full rate.
 *
 * <p>Two transfers side by side would each take as long as both in turn, and the result of the
 * first could be evicted before it is across. Not thread-safe.
 */
public final class LinkBudget {

    private static final long MILLIS_PER_SECOND = 1_000;

    private final long mBytesPerSecond;
    private final SerialSchedule<AttemptId> mSchedule = new SerialSchedule<>();

    /**
     * Creates a budget with nothing reserved.
     *
     * @param bytesPerSecond rate of the link; 0 for one that is never the limit
     */
    public LinkBudget(long bytesPerSecond) {
        if (bytesPerSecond < 0) {
            throw new IllegalArgumentException("link rate " + bytesPerSecond + " is negative");
        }
        mBytesPerSecond = bytesPerSecond;
    }

    /** Returns how long {@code bytes} take at the full rate, in milliseconds, rounded up. */
    public long transferMillis(long bytes) {
        return transferMillis(bytes, mBytesPerSecond);
    }

    /** Returns how long {@code bytes} take at a rate; 0 if the rate is 0, which means no limit. */
    public static long transferMillis(long bytes, long bytesPerSecond) {
        if (bytesPerSecond == 0) {
            return 0;
        }
        return (bytes * MILLIS_PER_SECOND + bytesPerSecond - 1) / bytesPerSecond;
    }

    /**
     * Returns the span a transfer would get.
     *
     * @param fromMillis when the bytes are there at the earliest
     * @param bytes size of the transfer
     */
    public Interval preview(long fromMillis, long bytes) {
        long duration = transferMillis(bytes);
        long start = mSchedule.earliest(fromMillis, duration);
        return new Interval(start, start + duration);
    }

    /**
     * Reserves the link for a transfer; an attempt that has a reservation keeps it.
     *
     * @param attempt what is transferred
     * @param fromMillis when the bytes are there at the earliest
     * @param bytes size of the transfer
     */
    public Interval reserve(AttemptId attempt, long fromMillis, long bytes) {
        return mSchedule.reserve(attempt, fromMillis, transferMillis(bytes));
    }

    /** Gives back the reservation of {@code attempt}, if it has one. */
    public void release(AttemptId attempt) {
        mSchedule.release(attempt);
    }

    /** Returns when the last reserved transfer ends, or {@code nowMillis} if that has passed. */
    public long freeAt(long nowMillis) {
        return mSchedule.endOfLast(nowMillis);
    }
}
