package org.cyclamenpaddle.relay.front;

import org.cyclamenpaddle.core.id.ServiceName;
import org.cyclamenpaddle.core.table.Table;
import org.cyclamenpaddle.core.table.TableOrder;
import org.cyclamenpaddle.core.time.Clock;
import org.cyclamenpaddle.routing.retry.RetryBudget;

/** This host's share of the deployment's retry budget. */
public final class SharedRetryBudget {

    /**
     * Share of the deployment's budget that hosts use. The rest covers retries that are counted
     * differently at its edges.
     */
    private static final double USABLE_SHARE = 0.85;

    /**
     * Number of hosts among which the slack is divided before the hosts are counted.
     *
     * <p>This many hosts that start together, and cannot count one another yet, stay within the
     * budget.
     */
    private static final int ASSUMED_HOSTS = 100;

    /**
     * Share of a host's slack that can accumulate and be spent as a burst; the rest accrues over
     * the window.
     */
    private static final double BURST_SHARE = 0.7;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final double mShare;
    private final double mSlack;
    private final double mWindowSeconds;
    private final Clock mClock;
    private final Table<RetryBudget> mBudget;

    /**
     * Creates a full budget.
     *
     * @param share retries per request, over all hosts
     * @param slack additional retries per window, over all hosts
     * @param windowMillis length of the window
     * @param clock this host's clock
     */
    public SharedRetryBudget(double share, double slack, long windowMillis, Clock clock) {
        mShare = share * USABLE_SHARE;
        mSlack = slack * USABLE_SHARE;
        mWindowSeconds = windowMillis / MILLIS_PER_SECOND;
        mClock = clock;
        mBudget = new Table<>(TableOrder.RETRIES, new RetryBudget(settings(ASSUMED_HOSTS)));
    }

    /** Divides the slack among the given number of hosts from now on. */
    public void updateHostCount(int hosts) {
        mBudget.write(budget -> budget.adjust(settings(Math.max(1, hosts))));
    }

    /** Counts a caller's request. */
    public void recordRequest(ServiceName service) {
        mBudget.write(budget -> budget.recordRequest(service, mClock.millis()));
    }

    /** Takes one retry from the budget and returns whether there was one. */
    public boolean tryTake(ServiceName service) {
        return mBudget.read(budget -> budget.tryAcquire(service, mClock.millis()));
    }

    /** Returns a retry that was taken and not used. */
    public void putBack(ServiceName service) {
        mBudget.write(budget -> budget.putBack(service, mClock.millis()));
    }

    private RetryBudget.Settings settings(int hosts) {
        double hostSlack = mSlack / hosts;
        double accrual = hostSlack * (1 - BURST_SHARE) / mWindowSeconds;
        // A burst limit below 1 could never be spent; the accrual rate alone applies then.
        return new RetryBudget.Settings(mShare, accrual, Math.max(1, hostSlack * BURST_SHARE));
    }
}
