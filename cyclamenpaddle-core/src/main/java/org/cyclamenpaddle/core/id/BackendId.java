package org.cyclamenpaddle.core.id;

/**
 * Name of a backend server: an engine or a plain service instance.
 *
 * @param value text of the identifier, 1 to 128 letters, digits, '.', '_', ':' or '-'
 */
public record BackendId(String value) implements Comparable<BackendId> {

    public BackendId {
        Identifiers.check("backend server", value);
    }

    @Override
    public int compareTo(BackendId other) {
        return value.compareTo(other.value);
    }

    // Written out, because linking the generated methods costs processor time at each start.
    @Override
    public boolean equals(Object other) {
        return other instanceof BackendId that && value.equals(that.value);
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
