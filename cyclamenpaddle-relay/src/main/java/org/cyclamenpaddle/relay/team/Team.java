package org.cyclamenpaddle.relay.team;

import java.util.Optional;
import java.util.OptionalInt;
import org.cyclamenpaddle.core.id.TeamName;

/**
 * A team of callers.
 *
 * @param name name of the team
 * @param priority priority of its requests, which replaces that of their routes; 0 is the highest;
 *     empty if the routes decide
 * @param quota limit on its requests over all hosts; empty if there is none
 */
public record Team(TeamName name, OptionalInt priority, Optional<TeamQuota> quota) {

    public Team {
        if (name == null || priority == null || quota == null) {
            throw new IllegalArgumentException(
                    "team needs a name, an optional priority and an optional quota");
        }
        if (priority.isPresent() && priority.getAsInt() < 0) {
            throw new IllegalArgumentException(
                    "team " + name + " has priority " + priority.getAsInt() + "; 0 is the highest");
        }
    }
}
