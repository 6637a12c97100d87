package org.cyclamenpaddle.routing.quarantine;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import java.util.stream.IntStream;
import org.cyclamenpaddle.core.id.BackendId;

/**
 * Lost runs with one part of prompts that no later good run has cleared.
 *
 * <p>Not thread-safe.
 */
final class PartStrikes {
    private final long mPart;
    private final long mSinceMillis;
    private final Set<BackendId> mServers = new HashSet<>();
    private final Set<Long> mRequests = new HashSet<>();
    private final long mHeldMillis;
    private int mRuns;
    private int mHeldRuns;
    private int mDepth;

    /**
     * Creates strikes.
     *
     * @param sinceMillis clock reading at the first of them
     * @param heldMillis clock reading since when requests with the part are held back
     */
    PartStrikes(long part, long sinceMillis, long heldMillis) {
        mPart = part;
        mSinceMillis = sinceMillis;
        mHeldMillis = heldMillis;
    }

    /** Adds a lost run; depth is the place of the part in its prompt. */
    void add(BackendId server, long endMillis, long request, int depth) {
        mServers.add(server);
        mRequests.add(request);
        mDepth = Math.max(mDepth, depth);
        if (endMillis < mHeldMillis) {
            mRuns++;
        } else {
            mHeldRuns++;
        }
    }

    /**
     * Returns the probability that a sound part has such a share of the lost runs. The time in
     * which its requests are held back counts apart, since fewer of them can run well then.
     */
    double chance(Collection<RunCount> lost, Collection<RunCount> completed) {
        long heldMillis = Math.max(mSinceMillis, mHeldMillis);
        return chance(
                        mRuns,
                        sum(lost, mSinceMillis, mHeldMillis) - mRuns,
                        sum(completed, mSinceMillis, mHeldMillis))
                * chance(
                        mHeldRuns,
                        sum(lost, heldMillis, Long.MAX_VALUE) - mHeldRuns,
                        sum(completed, heldMillis, Long.MAX_VALUE));
    }

    private static int sum(Collection<RunCount> counts, long fromMillis, long toMillis) {
        return counts.stream()
                .filter(some -> some.millis() >= fromMillis && some.millis() < toMillis)
                .mapToInt(RunCount::runs)
                .sum();
    }

    long part() {
        return mPart;
    }

    /** Returns the clock reading at the first strike. */
    long sinceMillis() {
        return mSinceMillis;
    }

    /** Returns the incarnations of servers that ended under the part. */
    Set<BackendId> servers() {
        return mServers;
    }

    /** Returns the fingerprints of the lost requests with the part. */
    Set<Long> requests() {
        return mRequests;
    }

    /** Returns the last place of the part in a prompt. */
    int depth() {
        return mDepth;
    }

    /**
     * Returns the probability that all runs with a part are among the lost ones by chance.
     *
     * @param lostWith number of lost runs with the part; none with it has reached its end
     * @param lostWithout number of other lost runs
     * @param completed number of runs that have reached their end
     */
    static double chance(int lostWith, int lostWithout, int completed) {
        double lost = lostWith + lostWithout;
        return IntStream.range(0, lostWith)
                .mapToDouble(i -> (lost - i) / (lost + completed - i))
                .reduce(1, (product, factor) -> product * factor);
    }
}
