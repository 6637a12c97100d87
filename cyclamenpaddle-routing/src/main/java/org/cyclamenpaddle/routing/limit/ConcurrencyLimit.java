package org.cyclamenpaddle.routing.limit;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.cyclamenpaddle.core.id.RequestId;
import org.cyclamenpaddle.core.id.ServiceName;
import org.cyclamenpaddle.core.id.TeamName;
import org.cyclamenpaddle.core.outcome.Refusal;
import org.cyclamenpaddle.core.outcome.RefusalReason;
import org.cyclamenpaddle.routing.queue.TeamShares;

/**
 * Bounds the requests in progress on this host, by service and by team within a service.
 *
 * <p>While a service has room to spare a team may use all of it. Once the service is nearly full, a
 * team that has more than its share among the teams with requests in progress gets no more, so that
 * the rest is left to the others. Idempotent by request id. Not thread-safe.
 */
public final class ConcurrencyLimit {

    /**
     * Settings of a limit.
     *
     * @param mostOfService requests of one service in progress at once
     * @param scarceFrom share of that from which teams are held to their shares, from 0 to 1
     */
    public record Settings(int maxPerService, double fairShareThreshold) {

        public Settings {
            if (maxPerService < 1 || fairShareThreshold < 0 || fairShareThreshold > 1) {
                throw new IllegalArgumentException(
                        "limit out of range: most "
                                + maxPerService
                                + ", scarce from "
                                + fairShareThreshold);
            }
        }
    }

    private record Holder(ServiceName service, TeamName team) {}

    private final Settings mSettings;
    private final TeamShares mShares;
    private final Map<RequestId, Holder> mHolders = new HashMap<>();
    private final Map<ServiceName, Map<TeamName, Integer>> mInUse = new HashMap<>();

    /**
     * Creates a limit with nothing in progress.
     *
     * @param settings bounds
     * @param shares weights of the teams
     */
    public ConcurrencyLimit(Settings settings, TeamShares shares) {
        mSettings = settings;
        mShares = shares;
    }

    /**
     * Counts a request as in progress unless it is over a limit.
     *
     * @param request the request; one that is in progress already stays so
     * @param service its service
     * @param team its team
     * @return the refusal; empty if it was counted
     */
    public Optional<Refusal> begin(RequestId request, ServiceName service, TeamName team) {
        if (mHolders.containsKey(request)) {
            return Optional.empty();
        }
        Map<TeamName, Integer> teams = mInUse.computeIfAbsent(service, any -> new HashMap<>());
        int total = total(teams);
        int ofTeam = teams.getOrDefault(team, 0);
        if (total >= mSettings.maxPerService()) {
            return Optional.of(Refusal.of(RefusalReason.QUEUE_FULL, total + " are in progress"));
        }
        boolean scarce = total >= mSettings.fairShareThreshold() * mSettings.maxPerService();
        if (scarce && ofTeam >= share(teams, team)) {
            String detail = "team " + team + " has " + ofTeam + " in progress";
            return Optional.of(Refusal.of(RefusalReason.TEAM_LIMIT, detail));
        }
        mHolders.put(request, new Holder(service, team));
        teams.merge(team, 1, Integer::sum);
        return Optional.empty();
    }

    /** Counts a request as in progress no more; idempotent. */
    public void end(RequestId request) {
        Holder holder = mHolders.remove(request);
        if (holder == null) {
            return;
        }
        Map<TeamName, Integer> teams = mInUse.get(holder.service());
        teams.computeIfPresent(holder.team(), (team, count) -> count == 1 ? null : count - 1);
        if (teams.isEmpty()) {
            mInUse.remove(holder.service());
        }
    }

    /** Returns the requests of a service in progress. */
    public int inProgress(ServiceName service) {
        return total(mInUse.getOrDefault(service, Map.of()));
    }

    private double share(Map<TeamName, Integer> teams, TeamName team) {
        double own = mShares.weight(team);
        double others =
                teams.keySet().stream()
                        .filter(other -> !other.equals(team))
                        .mapToDouble(mShares::weight)
                        .sum();
        return Math.max(1, mSettings.maxPerService() * own / (own + others));
    }

    private static int total(Map<TeamName, Integer> teams) {
        return teams.values().stream().mapToInt(Integer::intValue).sum();
    }
}
