package org.cyclamenpaddle.relay.team;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.cyclamenpaddle.core.id.TeamName;

/** Immutable snapshot of the teams of one configuration, found by API key or by name. */
public final class TeamDirectory {

    /** Configuration without teams: requests need no key. */
    public static final TeamDirectory NONE = new TeamDirectory(false, Map.of(), Map.of());

    private final boolean mKeysRequired;
    private final Map<ApiKeyDigest, Team> mByKey;
    private final Map<TeamName, Team> mByName;
    private final Set<TeamName> mWithQuota;

    private TeamDirectory(
            boolean keysRequired, Map<ApiKeyDigest, Team> byKey, Map<TeamName, Team> byName) {
        mKeysRequired = keysRequired;
        mByKey = byKey;
        mByName = byName;
        mWithQuota =
                byName.values().stream()
                        .filter(team -> team.quota().isPresent())
                        .map(Team::name)
                        .collect(Collectors.toUnmodifiableSet());
    }

    /**
     * A team with the digests of its keys.
     *
     * @param team the team
     * @param keys digests of its keys; none if the team has no access at present
     */
    public record Entry(Team team, Set<ApiKeyDigest> keys) {

        public Entry {
            keys = Set.copyOf(keys);
        }
    }

    /**
     * Returns the directory of a configuration that has teams, even if it lists none.
     *
     * @param entries teams with distinct names, no two of which share a key
     */
    public static TeamDirectory of(Collection<Entry> entries) {
        Map<ApiKeyDigest, Team> byKey = new HashMap<>();
        Map<TeamName, Team> byName = new HashMap<>();
        entries.forEach(
                entry -> {
                    Team team = entry.team();
                    if (byName.put(team.name(), team) != null) {
                        throw new IllegalArgumentException(
                                "team " + team.name() + " is listed twice");
                    }
                    entry.keys().forEach(key -> register(byKey, key, team));
                });
        return new TeamDirectory(true, byKey, byName);
    }

    private static void register(Map<ApiKeyDigest, Team> byKey, ApiKeyDigest key, Team team) {
        Team other = byKey.put(key, team);
        if (other != null) {
            throw new IllegalArgumentException(
                    "teams " + other.name() + " and " + team.name() + " share an API key");
        }
    }

    /** Returns whether requests need a key, except on public routes. */
    public boolean keysRequired() {
        return mKeysRequired;
    }

    /** Returns the team that a key belongs to; empty for an unknown key. */
    public Optional<Team> find(ApiKeyDigest key) {
        return Optional.ofNullable(mByKey.get(key));
    }

    /** Returns the team with a name; empty for an unknown name. */
    public Optional<Team> find(TeamName name) {
        return Optional.ofNullable(mByName.get(name));
    }

    /** Returns the teams that have a quota. */
    public Set<TeamName> withQuota() {
        return mWithQuota;
    }

    /** Returns the priorities of the teams that have one. */
    public Set<Integer> priorities() {
        return mByName.values().stream()
                .flatMap(team -> team.priority().stream().boxed())
                .collect(Collectors.toUnmodifiableSet());
    }

    /** Returns whether each request with a key has the priority of a team. */
    public boolean allHavePriorities() {
        return mKeysRequired
                && mByName.values().stream().allMatch(team -> team.priority().isPresent());
    }

    /** Returns the number of teams. */
    public int size() {
        return mByName.size();
    }
}
