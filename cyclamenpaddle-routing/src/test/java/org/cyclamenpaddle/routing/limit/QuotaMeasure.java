package org.cyclamenpaddle.routing.limit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongFunction;

/** Compares what hosts admit with one exact bucket at the limit, and with the bound of a window. */
final class QuotaMeasure {

    private record Use(double atMillis, long cost) {}

    /** Token bucket that admits a request if it holds the whole cost. */
    private final class Exact {
        private double mLevel;
        private double mAt;
        private long mAdmitted;
        private final Map<Long, Long> mBySecond = new HashMap<>();

        private void ask(long cost, double nowMillis) {
            QuotaLimit limit = mLimit.apply((long) nowMillis);
            double passed = (nowMillis - mAt) / MILLIS_PER_SECOND;
            mLevel = Math.min(limit.burstUnits(), mLevel + passed * limit.unitsPerSecond());
            mAt = nowMillis;
            if (mLevel >= cost) {
                mLevel -= cost;
                mAdmitted += cost;
                mBySecond.merge(second(nowMillis), cost, Long::sum);
            }
        }
    }

    private static final double MILLIS_PER_SECOND = 1_000;

    private final QuotaBounds mBounds;
    private final LongFunction<QuotaLimit> mLimit;
    private final List<Use> mUses = new ArrayList<>();
    private final Exact mAll = new Exact();
    private final Exact mRunning = new Exact();
    private final Map<Long, Long> mAdmittedBySecond = new HashMap<>();
    private long mAsked;
    private long mAskedRunning;
    private long mAdmitted;

    QuotaMeasure(QuotaBounds bounds, LongFunction<QuotaLimit> limit) {
        mBounds = bounds;
        mLimit = limit;
    }

    /** Records that a request arrived at a host, which may be down. */
    void ask(long cost, boolean running, double nowMillis) {
        mAsked += cost;
        mAll.ask(cost, nowMillis);
        if (running) {
            mAskedRunning += cost;
            mRunning.ask(cost, nowMillis);
        }
    }

    /** Records that a request was admitted. */
    void use(long cost, double arrivedMillis, double nowMillis) {
        mAdmitted += cost;
        mAdmittedBySecond.merge(second(arrivedMillis), cost, Long::sum);
        mUses.add(new Use(nowMillis, cost));
    }

    double refusedInVain() {
        return Math.max(0, mAll.mAdmitted - mAdmitted) / (double) mAsked;
    }

    double deniedInVain() {
        return mRunning.mBySecond.entrySet().stream()
                        .mapToLong(
                                second ->
                                        second.getValue()
                                                - mAdmittedBySecond.getOrDefault(
                                                        second.getKey(), 0L))
                        .filter(missing -> missing > 0)
                        .sum()
                / (double) mAskedRunning;
    }

    double mostExcess() {
        double most = -1;
        double window = mBounds.windowSeconds() * MILLIS_PER_SECOND;
        long sum = 0;
        int first = 0;
        for (Use last : mUses) {
            sum += last.cost();
            while (mUses.get(first).atMillis() <= last.atMillis() - window) {
                sum -= mUses.get(first).cost();
                first++;
            }
            // A lower limit binds once a whole window lies behind its change.
            double bound =
                    Math.max(
                            mBounds.mostInWindow(mLimit.apply((long) last.atMillis())),
                            mBounds.mostInWindow(
                                    mLimit.apply((long) Math.max(0, last.atMillis() - window))));
            most = Math.max(most, sum / bound - 1);
        }
        return most;
    }

    private static long second(double millis) {
        return (long) (millis / MILLIS_PER_SECOND);
    }
}
