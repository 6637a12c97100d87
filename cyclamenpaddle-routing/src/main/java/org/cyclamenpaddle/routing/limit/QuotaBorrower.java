package org.cyclamenpaddle.routing.limit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cyclamenpaddle.core.id.TeamName;
import org.cyclamenpaddle.core.message.QuotaRequest;
import org.cyclamenpaddle.core.message.QuotaResponse;

/**
 * One host's use of the quotas of one shard.
 *
 * <p>Units are borrowed from the shard's owner a little in advance, so that most requests are
 * admitted at once; others wait for the owner's response. At most one request to an owner may be in
 * progress at a time. Not thread-safe.
 *
 * @param <W> type that identifies a waiting request
 */
public final class QuotaBorrower<W> {

    /**
     * Time for which a host may use its acknowledged rates without the primary owner, in
     * milliseconds; longer than most partitions.
     */
    static final long ENTITLEMENT_MILLIS = 12_000;

    /**
     * A decision about a request that waited.
     *
     * @param request the request
     * @param decision {@link QuotaDecision.Admitted} or {@link QuotaDecision.Denied}
     */
    public record Settled<W>(W request, QuotaDecision decision) {}

    /**
     * Pauses of an owner that does not respond, in milliseconds. A waiting request asks the owner
     * again after one response that is late by 200 ms, and an owner that has returned is asked
     * within a second.
     */
    private static final long MIN_PAUSE_MILLIS = 100;

    private static final long MAX_PAUSE_MILLIS = 1_000;

    private final int mShard;
    private final Map<TeamName, QuotaAccount<W>> mAccounts = new HashMap<>();
    private long mReportMillis = Long.MIN_VALUE / 2;
    private long mEntitledUntilMillis = Long.MIN_VALUE / 2;

    /**
     * Creates a borrower that holds nothing.
     *
     * @param shard number of the shard
     */
    public QuotaBorrower(int shard) {
        mShard = shard;
    }

    /** Returns the choice of the owners to borrow from. */
    public static OwnerChoice owners() {
        return new OwnerChoice(MIN_PAUSE_MILLIS, MAX_PAUSE_MILLIS);
    }

    /**
     * Takes the cost of a request from the units held.
     *
     * @param team team of the request
     * @param cost units that it costs
     * @param request identifies it in {@link Settled} if the decision is pending
     * @param nowMillis current time of the steady clock
     */
    public QuotaDecision take(TeamName team, long cost, W request, long nowMillis) {
        return mAccounts
                .computeIfAbsent(team, any -> new QuotaAccount<>())
                .take(cost, request, nowMillis < mEntitledUntilMillis, nowMillis);
    }

    /** Returns the cost of an admitted request that did not run. */
    public void giveBack(TeamName team, long cost) {
        mAccounts.computeIfAbsent(team, any -> new QuotaAccount<>()).giveBack(cost);
    }

    /** Returns whether the owner should be asked now rather than with the next regular report. */
    public boolean needsUnits(long nowMillis) {
        return mAccounts.values().stream().anyMatch(account -> account.needsUnits(nowMillis));
    }

    /**
     * Returns whether a regular report is due.
     *
     * <p>A shard of which nothing is used only has to show that this host is alive.
     *
     * @param activeMillis interval of reports on a shard that is used, in milliseconds
     * @param idleMillis interval of reports on another one, in milliseconds
     */
    public boolean reportDue(long activeMillis, long idleMillis, long nowMillis) {
        return nowMillis - mReportMillis >= (mAccounts.isEmpty() ? idleMillis : activeMillis);
    }

    /** Returns whether any request waits. */
    public boolean hasWaiting() {
        return mAccounts.values().stream().anyMatch(QuotaAccount::hasWaiting);
    }

    /** Returns the message to send to the owner. */
    public QuotaRequest report(long nowMillis) {
        mReportMillis = nowMillis;
        mAccounts.values().removeIf(account -> account.isClosed(nowMillis));
        return new QuotaRequest(
                mShard,
                Math.max(0, mEntitledUntilMillis - nowMillis),
                mAccounts.entrySet().stream()
                        .map(entry -> entry.getValue().report(entry.getKey(), nowMillis))
                        .toList());
    }

    /**
     * Applies an owner's response and decides about the requests that waited for it.
     *
     * @param sent the last message that {@link #report} returned
     * @param response the response to it
     */
    public List<Settled<W>> apply(QuotaRequest sent, QuotaResponse response, long nowMillis) {
        if (response.primary()) {
            mEntitledUntilMillis = nowMillis + ENTITLEMENT_MILLIS;
        }
        Map<TeamName, QuotaResponse.Grant> grants = new HashMap<>();
        response.grants().forEach(grant -> grants.put(grant.team(), grant));
        List<Settled<W>> settled = new ArrayList<>();
        for (QuotaRequest.TeamUse use : sent.teams()) {
            QuotaResponse.Grant grant =
                    grants.getOrDefault(use.team(), new QuotaResponse.Grant(use.team(), 0, 0));
            settled.addAll(
                    mAccounts
                            .get(use.team())
                            .apply(
                                    use,
                                    grant.units(),
                                    grant.retryMillis(),
                                    response.primary(),
                                    nowMillis));
        }
        return settled;
    }
}
