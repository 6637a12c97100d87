package org.cyclamenpaddle.routing.limit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.LongPredicate;
import org.cyclamenpaddle.core.id.TeamName;
import org.cyclamenpaddle.core.message.QuotaRequest;

/**
 * One host's use of one team's quota: units held, requests that wait, and the recent rate of use.
 *
 * @param <W> type that identifies a waiting request
 */
final class QuotaAccount<W> {

    private record Waiting<W>(W request, long cost, long sinceMillis) {}

    /** Time constant of the rate of use, in milliseconds. */
    private static final double RATE_MILLIS = 4_000;

    /** Use that units held in advance cover, in seconds; they cover one small request at least. */
    private static final double ADVANCE_SECONDS = 0.5;

    /**
     * Use at the acknowledged rate that a host may owe to the owner, in seconds. With 0.25, a bound
     * without slack was exceeded while hosts disagreed about the owner for 5 s.
     */
    private static final double OVERDRAFT_SECONDS = 0.15;

    /** Multiple of the advance above which a host gives units back. */
    private static final double SURPLUS_FACTOR = 3;

    /** Time without a request after which all units are given back, in milliseconds. */
    private static final long IDLE_MILLIS = 2_000;

    /** Time without a request after which an account is closed, in milliseconds. */
    private static final long CLOSE_MILLIS = 20_000;

    /**
     * Longest time for which a refusal of the owner applies to further requests, in milliseconds.
     */
    private static final long MAX_DENIED_MILLIS = 100;

    /** Factor by which the weight of a small request falls with each later one. */
    private static final double COST_GROWTH = 1.03;

    /** Least time between two reports that only ask for units in advance, in milliseconds. */
    private static final long ADVANCE_PAUSE_MILLIS = 100;

    /**
     * Retry time of a request that no owner decided about, in milliseconds: an owner without a
     * response is asked again within a second, and half of that has passed on average.
     */
    private static final long UNANSWERED_RETRY_MILLIS = 500;

    private final Deque<Waiting<W>> mWaiting = new ArrayDeque<>();
    private final DecayingRate mUse = new DecayingRate(RATE_MILLIS);
    private long mHeld;
    private long mElsewhere;
    private long mEntitledPerSecond;
    private double mSmallCost = Double.MAX_VALUE;
    private long mReportMillis = Long.MIN_VALUE / 2;
    private long mLastRequestMillis;
    private long mDeniedUntilMillis = Long.MIN_VALUE;
    private long mRetryMillis;
    private int mAsked;

    /**
     * Takes the cost of a request.
     *
     * <p>A host that has an acknowledged rate may owe the owner a little, so that short calls do
     * not wait for an owner that responds late.
     *
     * @param entitled whether the acknowledged rate still holds
     */
    QuotaDecision take(long cost, W request, boolean entitled, long nowMillis) {
        mLastRequestMillis = nowMillis;
        mSmallCost = Math.min(cost, mSmallCost * COST_GROWTH);
        double overdraft = entitled ? mEntitledPerSecond * OVERDRAFT_SECONDS : 0;
        if (mWaiting.isEmpty() && mHeld + overdraft >= cost) {
            spend(cost, nowMillis);
            return QuotaDecision.ADMITTED;
        }
        if (mWaiting.isEmpty() && nowMillis < mDeniedUntilMillis) {
            return new QuotaDecision.Denied(mRetryMillis);
        }
        mWaiting.add(new Waiting<>(request, cost, nowMillis));
        return QuotaDecision.PENDING;
    }

    void giveBack(long cost) {
        mHeld += cost;
    }

    /** Returns whether requests wait, or the units held in advance have run low. */
    boolean needsUnits(long nowMillis) {
        return !mWaiting.isEmpty()
                || nowMillis - mReportMillis >= ADVANCE_PAUSE_MILLIS
                        && 2 * mHeld < advanceTarget(nowMillis);
    }

    boolean hasWaiting() {
        return !mWaiting.isEmpty();
    }

    boolean isClosed(long nowMillis) {
        return mWaiting.isEmpty()
                && mHeld == 0
                && mElsewhere == 0
                && nowMillis - mLastRequestMillis > CLOSE_MILLIS;
    }

    /** Returns what to report and to ask for; units that are given back leave the account. */
    QuotaRequest.TeamUse report(TeamName team, long nowMillis) {
        mAsked = mWaiting.size();
        mReportMillis = nowMillis;
        long cost = mWaiting.stream().mapToLong(Waiting::cost).sum();
        long firstCost = mWaiting.isEmpty() ? 0 : mWaiting.peek().cost();
        long owed = Math.max(0, -mHeld);
        long free = Math.max(0, mHeld - cost);
        long target = advanceTarget(nowMillis);
        long returned = free > SURPLUS_FACTOR * target ? free - target : 0;
        mHeld -= returned;
        return new QuotaRequest.TeamUse(
                team,
                Math.max(0, cost - mHeld),
                mWaiting.isEmpty() ? owed : Math.max(0, firstCost - mHeld),
                Math.max(0, target - (free - returned)),
                Math.max(0, mHeld),
                returned,
                mElsewhere,
                Math.round(mUse.perSecond(nowMillis)),
                mEntitledPerSecond);
    }

    /**
     * Applies the response to a report and decides about the requests that waited for it.
     *
     * @param sent the report
     * @param units units lent
     * @param retryMillis retry time of requests that got none
     * @param primary whether the primary owner responded
     */
    List<QuotaBorrower.Settled<W>> apply(
            QuotaRequest.TeamUse sent,
            long units,
            long retryMillis,
            boolean primary,
            long nowMillis) {
        // A faulty owner must not make this host exceed a quota by more than it asked for.
        long lent = Math.min(units, sent.neededUnits() + sent.advanceUnits());
        mHeld += lent;
        if (primary) {
            mElsewhere -= sent.elsewhereUnits();
            mEntitledPerSecond = sent.usePerSecond();
        } else {
            mElsewhere += lent;
        }
        List<QuotaBorrower.Settled<W>> settled = new ArrayList<>();
        while (mAsked > 0 && mHeld >= mWaiting.peek().cost()) {
            Waiting<W> next = mWaiting.poll();
            mAsked--;
            spend(next.cost(), nowMillis);
            settled.add(new QuotaBorrower.Settled<>(next.request(), QuotaDecision.ADMITTED));
        }
        if (!primary) {
            // A deputy may know nothing of this host. Requests wait for the primary owner until
            // they expire.
            mAsked = 0;
        }
        if (mAsked > 0) {
            mRetryMillis = retryMillis;
            mDeniedUntilMillis = nowMillis + Math.min(retryMillis, MAX_DENIED_MILLIS);
        }
        for (; mAsked > 0; mAsked--) {
            settled.add(
                    new QuotaBorrower.Settled<>(
                            mWaiting.poll().request(), new QuotaDecision.Denied(retryMillis)));
        }
        return settled;
    }

    /**
     * Decides about requests that have waited as long as they may.
     *
     * @param entry whether a request of a cost may run although no owner has decided about it
     */
    List<QuotaBorrower.Settled<W>> expire(LongPredicate entry, long nowMillis) {
        List<QuotaBorrower.Settled<W>> settled = new ArrayList<>();
        while (!mWaiting.isEmpty()
                && nowMillis - mWaiting.peek().sinceMillis() >= QuotaBorrower.WAIT_MILLIS) {
            Waiting<W> next = mWaiting.poll();
            // Units lent for it by a response to come stay with this host.
            mAsked = Math.max(0, mAsked - 1);
            QuotaDecision decision = new QuotaDecision.Denied(UNANSWERED_RETRY_MILLIS);
            if (entry.test(next.cost())) {
                mElsewhere += next.cost();
                mUse.add(next.cost(), nowMillis);
                decision = QuotaDecision.ADMITTED;
            }
            settled.add(new QuotaBorrower.Settled<>(next.request(), decision));
        }
        return settled;
    }

    private void spend(long cost, long nowMillis) {
        mHeld -= cost;
        mUse.add(cost, nowMillis);
    }

    private long advanceTarget(long nowMillis) {
        if (nowMillis - mLastRequestMillis > IDLE_MILLIS) {
            return 0;
        }
        double bySecond = mUse.perSecond(nowMillis) * ADVANCE_SECONDS;
        return Math.round(Math.max(bySecond, mSmallCost));
    }
}
