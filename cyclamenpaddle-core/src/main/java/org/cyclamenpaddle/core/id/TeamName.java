package org.cyclamenpaddle.core.id;

/**
 * Name of the team that a caller belongs to; limits are applied fairly between teams.
 *
 * @param value text of the identifier, 1 to 128 letters, digits, '.', '_', ':' or '-'
 */
public record TeamName(String value) implements Comparable<TeamName> {

    public TeamName {
        Identifiers.check("team", value);
    }

    @Override
    public int compareTo(TeamName other) {
        return value.compareTo(other.value);
    }

    // Written out, because linking the generated methods costs processor time at each start.
    @Override
    public boolean equals(Object other) {
        return other instanceof TeamName that && value.equals(that.value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }

    @Override
    public String toString() {
        return value;
    }
}
