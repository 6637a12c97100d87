package org.cyclamenpaddle.core.id;

/**
 * Name of an entry host, stable across restarts of its process.
 *
 * @param value text of the identifier, 1 to 128 letters, digits, '.', '_', ':' or '-'
 */
public record HostId(String value) implements Comparable<HostId> {

    public HostId {
        Identifiers.check("host", value);
    }

    @Override
    public int compareTo(HostId other) {
        return value.compareTo(other.value);
    }

    // Written out, because linking the generated methods costs processor time at each start.
    @Override
    public boolean equals(Object other) {
        return other instanceof HostId that && value.equals(that.value);
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
