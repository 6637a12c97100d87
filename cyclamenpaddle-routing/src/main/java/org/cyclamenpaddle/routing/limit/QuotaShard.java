package org.cyclamenpaddle.routing.limit;

import java.util.HashMap;
import java.util.List;
import java.util.LongSummaryStatistics;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.cyclamenpaddle.core.id.HostId;
import org.cyclamenpaddle.core.id.TeamName;
import org.cyclamenpaddle.core.message.QuotaRequest;
import org.cyclamenpaddle.core.message.QuotaResponse;

/**
 * Lends the quotas of one shard to hosts, as its primary owner or as a deputy.
 *
 * <p>As primary owner it lends the whole limit, and what {@link QuotaBounds#beyondPerSecond} states
 * beyond it, less what silent hosts may use without it: their last reported rate until {@link
 * QuotaBorrower#ENTITLEMENT_MILLIS} have passed, and an equal part of the limit from then on. As
 * deputy it lends just that to the hosts that report to it. Both sides of a partition together
 * therefore lend no more than the limit. Not thread-safe.
 */
public final class QuotaShard {

    /**
     * This host's view of the fleet.
     *
     * @param primary whether this host is the primary owner of the shard
     * @param hosts hosts of the fleet, as far as they are known
     * @param hostCount number of hosts of the fleet, at least that of {@code hosts}
     * @param silentMillis time without a report after which a host that uses the shard counts as
     *     silent, in milliseconds
     * @param idleSilentMillis the same for a host that uses nothing of it
     */
    public record Fleet(
            boolean primary,
            Set<HostId> hosts,
            int hostCount,
            long silentMillis,
            long idleSilentMillis) {

        public Fleet {
            if (hostCount < Math.max(1, hosts.size()) || silentMillis < 1) {
                throw new IllegalArgumentException(
                        hostCount + " hosts and a silence of " + silentMillis + " ms");
            }
        }
    }

    private static final class TeamState {
        private double mUsePerSecond;
        private double mEntitledPerSecond;
        private long mHeld;
        private double mReserved;
    }

    private static final class HostState {
        private final Map<TeamName, TeamState> mTeams = new HashMap<>();
        private long mLastReportMillis;
        private long mSinceReportMillis;
        private long mEntitledUntilMillis;
        private boolean mIdle;

        private TeamState team(TeamName team) {
            return mTeams.computeIfAbsent(team, any -> new TeamState());
        }

        private void dropReserves() {
            mTeams.values().forEach(state -> state.mReserved = 0);
        }
    }

    private static final double MILLIS_PER_SECOND = 1_000;

    /**
     * Time without a report after which the owner reserves what a host may use, in milliseconds. A
     * host borrows from a deputy 200 ms after it was cut off. With a reserve only after 2.5 s, both
     * sides of a cut exceeded a bound without slack at seven times the load.
     */
    private static final long RESERVE_MILLIS = 600;

    private final QuotaBounds mBounds;
    private final Map<HostId, HostState> mHosts = new HashMap<>();
    private final Map<TeamName, QuotaPool> mPools = new HashMap<>();
    private final Map<TeamName, Double> mDebts = new HashMap<>();
    private boolean mPrimary;
    private boolean mStartsFilled;
    private long mWasPrimaryMillis = Long.MIN_VALUE / 2;
    private long mRoleSinceMillis;

    /**
     * Creates a shard that has lent nothing.
     *
     * @param bounds bounds of the deployment
     * @param nowMillis current time of the steady clock
     */
    public QuotaShard(QuotaBounds bounds, long nowMillis) {
        mBounds = bounds;
        mRoleSinceMillis = nowMillis;
    }

    /**
     * Lends units to a host.
     *
     * @param from the host
     * @param request its report
     * @param fleet this host's view of the fleet
     * @param limits limits in force; empty for a team without one
     */
    public QuotaResponse lend(
            HostId from,
            QuotaRequest request,
            Fleet fleet,
            Function<TeamName, Optional<QuotaLimit>> limits,
            long nowMillis) {
        applyFleet(fleet, limits, nowMillis);
        HostState host = recordReport(from, request, fleet, limits, nowMillis);
        host.mEntitledUntilMillis = nowMillis + request.entitledMillis();
        host.mIdle = request.teams().isEmpty();
        if (!fleet.primary()) {
            mPools.forEach(
                    (team, pool) ->
                            limits.apply(team)
                                    .ifPresent(
                                            limit ->
                                                    accrue(
                                                            pool, host, team, limit, fleet,
                                                            nowMillis)));
        }
        List<QuotaResponse.Grant> grants =
                request.teams().stream()
                        .map(use -> grant(host, use, fleet, limits, nowMillis))
                        .toList();
        host.mTeams.keySet().retainAll(request.teams().stream().map(u -> u.team()).toList());
        return new QuotaResponse(fleet.primary(), grants);
    }

    private void applyFleet(
            Fleet fleet, Function<TeamName, Optional<QuotaLimit>> limits, long nowMillis) {
        if (fleet.primary() != mPrimary) {
            // What the previous owner has lent is unknown, so that the pools start with the part
            // of the excess that is left for this. A host that loses and regains its role within
            // a window has used that part already.
            mPrimary = fleet.primary();
            mStartsFilled =
                    mPrimary
                            && nowMillis - mWasPrimaryMillis
                                    > mBounds.windowSeconds() * MILLIS_PER_SECOND;
            mRoleSinceMillis = nowMillis;
            mPools.forEach((team, pool) -> mDebts.put(team, Math.min(0, pool.units())));
            mPools.clear();
            mHosts.values().forEach(HostState::dropReserves);
        }
        if (mPrimary) {
            mWasPrimaryMillis = nowMillis;
        }
        mPools.keySet().removeIf(team -> limits.apply(team).isEmpty());
        if (!fleet.hosts().isEmpty()) {
            mHosts.keySet().retainAll(fleet.hosts());
        }
    }

    /**
     * Records a host's report, releases what was reserved since its last one, and removes its part
     * of the limit for the time in which it may have counted at another primary owner.
     */
    private HostState recordReport(
            HostId from,
            QuotaRequest request,
            Fleet fleet,
            Function<TeamName, Optional<QuotaLimit>> limits,
            long nowMillis) {
        HostState known = mHosts.get(from);
        long silentMillis = known == null ? 0 : silentMillis(known, nowMillis);
        long elsewhereMillis = Math.max(0, silentMillis - request.sinceOtherPrimaryMillis());
        boolean reserved = known == null || silentMillis > RESERVE_MILLIS;
        if (reserved || elsewhereMillis > 0) {
            mPools.forEach(
                    (team, pool) ->
                            limits.apply(team)
                                    .ifPresent(limit -> refill(team, limit, fleet, nowMillis)));
        }
        HostState host = mHosts.computeIfAbsent(from, any -> new HostState());
        if (reserved) {
            host.mTeams.forEach(
                    (team, state) ->
                            Optional.ofNullable(mPools.get(team))
                                    .ifPresent(pool -> pool.correct(state.mReserved)));
            host.dropReserves();
        }
        if (fleet.primary() && elsewhereMillis > 0) {
            mPools.forEach(
                    (team, pool) ->
                            limits.apply(team)
                                    .ifPresent(
                                            limit ->
                                                    pool.correct(
                                                            -lentPart(limit, fleet)
                                                                    * elsewhereMillis
                                                                    / MILLIS_PER_SECOND)));
        }
        host.mSinceReportMillis =
                known == null
                        ? 0
                        : Math.min(
                                nowMillis - known.mLastReportMillis,
                                request.sinceOtherOwnerMillis());
        host.mLastReportMillis = nowMillis;
        return host;
    }

    /** Returns the time without a report of a host in this owner's present role. */
    private long silentMillis(HostState host, long nowMillis) {
        return nowMillis - Math.max(host.mLastReportMillis, mRoleSinceMillis);
    }

    private QuotaResponse.Grant grant(
            HostState host,
            QuotaRequest.TeamUse use,
            Fleet fleet,
            Function<TeamName, Optional<QuotaLimit>> limits,
            long nowMillis) {
        Optional<QuotaLimit> limit = limits.apply(use.team());
        if (limit.isEmpty()) {
            return new QuotaResponse.Grant(use.team(), use.neededUnits(), 0);
        }
        QuotaPool pool = refill(use.team(), limit.get(), fleet, nowMillis);
        TeamState state = host.team(use.team());
        state.mUsePerSecond = use.usePerSecond();
        state.mEntitledPerSecond = use.entitledPerSecond();
        state.mHeld = use.heldUnits();
        pool.correct(use.returnedUnits());
        if (fleet.primary()) {
            pool.correct(-use.elsewhereUnits());
        }
        long lent = pool.lend(use.neededUnits(), use.firstUnits(), nowMillis);
        long retryMillis =
                lent < use.neededUnits()
                        ? pool.retryMillis(
                                limit.get().unitsPerSecond() + mBounds.beyondPerSecond(limit.get()),
                                use.firstUnits(),
                                nowMillis)
                        : 0;
        if (lent == use.neededUnits()) {
            long advance =
                    pool.lendInAdvance(
                            use.advanceUnits(),
                            advanceUnits(use.team(), state, limit.get(), fleet, nowMillis));
            state.mHeld += advance;
            lent += advance;
        }
        return new QuotaResponse.Grant(use.team(), lent, retryMillis);
    }

    /**
     * Returns the most units that a host may get in advance: its part among the hosts that use the
     * quota, as far as all together do not hold the total. The total is for all hosts; others than
     * those that report here may have units in advance from another owner.
     */
    private double advanceUnits(
            TeamName team, TeamState host, QuotaLimit limit, Fleet fleet, long nowMillis) {
        LongSummaryStatistics held =
                mHosts.values().stream()
                        .map(other -> other.mTeams.get(team))
                        .filter(state -> state != null)
                        .mapToLong(state -> state.mHeld)
                        .summaryStatistics();
        double total = mBounds.advanceUnits(limit) * reportingShare(fleet, nowMillis);
        return Math.min(total - held.getSum(), total / held.getCount() - host.mHeld);
    }

    private QuotaPool refill(TeamName team, QuotaLimit limit, Fleet fleet, long nowMillis) {
        double capacity = mBounds.capacity(limit);
        double beyond = mBounds.beyondPerSecond(limit);
        long fullMillis = (long) (capacity / limit.unitsPerSecond() * MILLIS_PER_SECOND);
        long filledSince =
                fleet.primary() ? Math.max(mRoleSinceMillis, nowMillis - fullMillis) : nowMillis;
        double start = fleet.primary() && mStartsFilled ? mBounds.startUnits(limit) : 0;
        QuotaPool pool =
                mPools.computeIfAbsent(
                        team,
                        any ->
                                new QuotaPool(
                                        filledSince,
                                        start
                                                + Optional.ofNullable(mDebts.remove(team))
                                                        .orElse(0.0)));
        double seconds = Math.max(0, nowMillis - pool.atMillis()) / MILLIS_PER_SECOND;
        if (fleet.primary()) {
            // Hosts that have not reported may borrow from an owner in their own view.
            double reported = Math.min(1, mHosts.size() / (double) fleet.hostCount());
            double units = (limit.unitsPerSecond() + beyond) * reported * seconds;
            pool.refill(
                    units - newReserves(team, limit, fleet, nowMillis),
                    Math.max(start, capacity * reportingShare(fleet, nowMillis)),
                    nowMillis);
        } else {
            pool.refill(0, deputyCapacity(team, limit, fleet, nowMillis), nowMillis);
        }
        return pool;
    }

    /**
     * Adds what a host was entitled to since its last report to this deputy.
     *
     * <p>Only the past is added: a host that reports to another deputy from now on is entitled
     * there, and would count at both if its entitlement were added until it counts as silent.
     */
    private void accrue(
            QuotaPool pool,
            HostState host,
            TeamName team,
            QuotaLimit limit,
            Fleet fleet,
            long nowMillis) {
        long sinceMillis = Math.min(host.mSinceReportMillis, silentMillis(host, fleet));
        double units = entitled(host, team, limit, fleet, nowMillis) * sinceMillis;
        pool.refill(
                units / MILLIS_PER_SECOND,
                deputyCapacity(team, limit, fleet, nowMillis),
                nowMillis);
    }

    private double deputyCapacity(TeamName team, QuotaLimit limit, Fleet fleet, long nowMillis) {
        double rate = entitledRate(team, limit, fleet, nowMillis);
        return mBounds.capacity(limit) * Math.min(1, rate / limit.unitsPerSecond());
    }

    /** Returns what hosts may have used without this owner since the last call. */
    private double newReserves(TeamName team, QuotaLimit limit, Fleet fleet, long nowMillis) {
        double reserves = 0;
        for (HostState host : mHosts.values()) {
            long silentMillis = silentMillis(host, nowMillis);
            if (silentMillis > RESERVE_MILLIS) {
                TeamState state = host.team(team);
                double reserved = reserve(host, state.mUsePerSecond, silentMillis, limit, fleet);
                reserves += reserved - state.mReserved;
                state.mReserved = reserved;
            }
        }
        return reserves;
    }

    /**
     * Returns what a host may have used since its last report: its reported rate while it is
     * entitled to it, and at least its part of the limit once it has missed a report, since it may
     * then count at another primary owner.
     */
    private double reserve(
            HostState host, double usePerSecond, long silentMillis, QuotaLimit limit, Fleet fleet) {
        long reportingMillis = Math.min(silentMillis, silentMillis(host, fleet));
        long entitledMillis =
                Math.max(reportingMillis, Math.min(silentMillis, QuotaBorrower.ENTITLEMENT_MILLIS));
        double part = lentPart(limit, fleet);
        return (usePerSecond * reportingMillis
                        + Math.max(usePerSecond, part) * (entitledMillis - reportingMillis)
                        + part * (silentMillis - entitledMillis))
                / MILLIS_PER_SECOND;
    }

    /** Returns one host's part of what the primary owner lends, in units a second. */
    private double lentPart(QuotaLimit limit, Fleet fleet) {
        return (limit.unitsPerSecond() + mBounds.beyondPerSecond(limit)) / fleet.hostCount();
    }

    /**
     * Returns the share of the hosts that report to this owner. The others may report to another
     * owner, which keeps units for them.
     */
    private double reportingShare(Fleet fleet, long nowMillis) {
        long reporting =
                mHosts.values().stream().filter(host -> !isSilent(host, fleet, nowMillis)).count();
        return Math.min(1, reporting / (double) fleet.hostCount());
    }

    /** Returns the sum of the entitlements of the hosts that report to this deputy. */
    private double entitledRate(TeamName team, QuotaLimit limit, Fleet fleet, long nowMillis) {
        return mHosts.values().stream()
                .filter(host -> !isSilent(host, fleet, nowMillis))
                .mapToDouble(host -> entitled(host, team, limit, fleet, nowMillis))
                .sum();
    }

    private static double entitled(
            HostState host, TeamName team, QuotaLimit limit, Fleet fleet, long nowMillis) {
        return nowMillis < host.mEntitledUntilMillis
                ? host.team(team).mEntitledPerSecond
                : equalPart(limit, fleet);
    }

    private static double equalPart(QuotaLimit limit, Fleet fleet) {
        return limit.unitsPerSecond() / fleet.hostCount();
    }

    private static boolean isSilent(HostState host, Fleet fleet, long nowMillis) {
        return nowMillis - host.mLastReportMillis > silentMillis(host, fleet);
    }

    private static long silentMillis(HostState host, Fleet fleet) {
        return host.mIdle ? fleet.idleSilentMillis() : fleet.silentMillis();
    }
}
