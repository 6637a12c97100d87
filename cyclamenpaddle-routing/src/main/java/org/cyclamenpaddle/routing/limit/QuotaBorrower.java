package org.cyclamenpaddle.routing.limit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cyclamenpaddle.core.id.HostId;
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
     * Longest wait of a request for a primary owner's decision, in milliseconds: about a third of
     * the shortest target for the first event, 0.8 s.
     */
    public static final long WAIT_MILLIS = 300;

    /** Time until requests that a deputy gave no units ask again, in milliseconds. */
    public static final long ASK_AGAIN_MILLIS = 50;

    /**
     * Timeout of a report to an owner that did not respond to the last one, while deputies lend, in
     * milliseconds. Requests that wait for a deputy thus wait less than {@link #WAIT_MILLIS} when
     * the owner and the deputy of all hosts are both cut off.
     */
    public static final long PROBE_MILLIS = 100;

    /** Whether a request may run although no owner has decided about it. */
    @FunctionalInterface
    public interface EntryRule {

        /** Returns whether the first such request of a team may run. */
        boolean admits(TeamName team, long cost);
    }

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
    private final Set<TeamName> mEntered = new HashSet<>();
    private final ReportHistory mReports = new ReportHistory();
    private boolean mPrimaryResponded;
    private long mFirstReportMillis = Long.MAX_VALUE;
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

    /** Returns whether deputies may lend this host the rates that the primary owner has known. */
    public boolean usesDeputies(long nowMillis) {
        return nowMillis < mEntitledUntilMillis;
    }

    /** Returns whether any request waits. */
    public boolean hasWaiting() {
        return mAccounts.values().stream().anyMatch(QuotaAccount::hasWaiting);
    }

    /**
     * Decides about requests that have waited {@link #WAIT_MILLIS}. They are denied, except that
     * shortly after a host has started, while no primary owner has responded to it, one request of
     * each team may run.
     *
     * @param entry whether such a request runs; bounds the sum over all hosts
     */
    public List<Settled<W>> expire(EntryRule entry, long nowMillis) {
        boolean entering =
                !mPrimaryResponded
                        && nowMillis - mFirstReportMillis <= QuotaBounds.ENTRY_MILLIS + WAIT_MILLIS;
        return mAccounts.entrySet().stream()
                .flatMap(
                        account ->
                                account
                                        .getValue()
                                        .expire(
                                                cost ->
                                                        entering
                                                                && mEntered.add(account.getKey())
                                                                && entry.admits(
                                                                        account.getKey(), cost),
                                                nowMillis)
                                        .stream())
                .toList();
    }

    /** Returns the message to send to an owner. */
    public QuotaRequest report(HostId owner, long nowMillis) {
        mReportMillis = nowMillis;
        mFirstReportMillis = Math.min(mFirstReportMillis, nowMillis);
        mAccounts.values().removeIf(account -> account.isClosed(nowMillis));
        long sinceOtherOwnerMillis = mReports.sinceOtherOwnerMillis(owner, nowMillis);
        long sinceOtherPrimaryMillis = mReports.sinceOtherPrimaryMillis(owner, nowMillis);
        mReports.sent(owner, nowMillis);
        return new QuotaRequest(
                mShard,
                Math.max(0, mEntitledUntilMillis - nowMillis),
                sinceOtherOwnerMillis,
                sinceOtherPrimaryMillis,
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
        mReports.answered(response.primary());
        if (response.primary()) {
            mPrimaryResponded = true;
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
