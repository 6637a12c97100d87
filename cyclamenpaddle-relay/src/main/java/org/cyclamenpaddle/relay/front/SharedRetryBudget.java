package org.cyclamenpaddle.relay.front;

import org.cyclamenpaddle.core.id.ServiceName;
import org.cyclamenpaddle.core.table.Table;
import org.cyclamenpaddle.core.table.TableOrder;
import org.cyclamenpaddle.core.time.Clock;
import org.cyclamenpaddle.routing.retry.RetryBudget;

/** The part of the deployment's budget of repeats that this host may spend by itself. */
public final class SharedRetryBudget {

    /**
     * Share of the deployment's budget that hosts spend, the rest being left for what is counted
     * differently at its edges.
     */
    private static final double SPENT_SHARE = 0.85;

    /**
     * Hosts among which the slack is divided before they were counted.
     *
     * <p>So many hosts that start together, and cannot count one another yet, spend no more than
     * there is.
     */
    private static final int UNCOUNTED_HOSTS = 100;

    /** Part of a host's slack that can be saved up and spent at once; the rest flows in. */
    private static final double SAVED_SHARE = 0.7;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final double mShare;
    private final double mSlack;
    private final double mWindowSeconds;
    private final Clock mClock;
    private final Table<RetryBudget> mBudget;

    /**
     * Creates a full budget.
     *
     * @param share repeats for each request, over all hosts
     * @param slack repeats in a window besides, over all hosts
     * @param windowMillis length of the window
     * @param clock this host's clock
     */
    public SharedRetryBudget(double share, double slack, long windowMillis, Clock clock) {
        mShare = share * SPENT_SHARE;
        mSlack = slack * SPENT_SHARE;
        mWindowSeconds = windowMillis / MILLIS_PER_SECOND;
        mClock = clock;
        mBudget = new Table<>(TableOrder.RETRIES, new RetryBudget(settings(UNCOUNTED_HOSTS)));
    }

    /** Divides the slack among so many hosts from now on. */
    public void updateHostCount(int hosts) {
        mBudget.write(budget -> budget.adjust(settings(Math.max(1, hosts))));
    }

    /** Counts a caller's request. */
    public void recordRequest(ServiceName service) {
        mBudget.write(budget -> budget.recordRequest(service, mClock.millis()));
    }

    /** Takes one repeat and returns whether there was one. */
    public boolean tryTake(ServiceName service) {
        return mBudget.read(budget -> budget.tryAcquire(service, mClock.millis()));
    }

    private RetryBudget.Settings settings(int hosts) {
        double own = mSlack / hosts;
        double flow = own * (1 - SAVED_SHARE) / mWindowSeconds;
        // A bound under one could never be spent; the flow alone decides then.
        return new RetryBudget.Settings(mShare, flow, Math.max(1, own * SAVED_SHARE));
    }
}
