package org.cyclamenpaddle.routing.queue;

import java.util.Map;
import org.cyclamenpaddle.core.id.TeamName;

/**
 * How much of a shared resource each team is due, relative to the others.
 *
 * @param weights weight of each team that has its own, above 0
 * @param defaultWeight weight of every other team, above 0
 */
public record TeamShares(Map<TeamName, Double> weights, double defaultWeight) {

    /** All teams alike. */
    public static final TeamShares EQUAL = new TeamShares(Map.of(), 1);

    public TeamShares {
        weights = Map.copyOf(weights);
        if (!(defaultWeight > 0)) {
            throw new IllegalArgumentException(
                    "usual weight " + defaultWeight + " must be above 0");
        }
        weights.forEach(
                (team, weight) -> {
                    if (!(weight > 0)) {
                        throw new IllegalArgumentException(
                                "weight " + weight + " of team " + team + " must be above 0");
                    }
                });
    }

    /** Returns the weight of a team. */
    public double weight(TeamName team) {
        return weights.getOrDefault(team, defaultWeight);
    }
}
