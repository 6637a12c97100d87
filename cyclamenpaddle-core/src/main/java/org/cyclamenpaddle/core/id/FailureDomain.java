package org.cyclamenpaddle.core.id;

/**
 * Name of a failure domain.
 *
 * @param value text of the identifier, 1 to 128 letters, digits, '.', '_', ':' or '-'
 */
public record FailureDomain(String value) implements Comparable<FailureDomain> {

    public FailureDomain {
        Identifiers.check("failure domain", value);
    }

    @Override
    public int compareTo(FailureDomain other) {
        return value.compareTo(other.value);
    }

    // Written out, because linking the generated methods costs processor time at each start.
    @Override
    public boolean equals(Object other) {
        return other instanceof FailureDomain that && value.equals(that.value);
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
