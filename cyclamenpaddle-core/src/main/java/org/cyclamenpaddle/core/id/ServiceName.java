package org.cyclamenpaddle.core.id;

/**
 * Name of a service that callers address.
 *
 * @param value text of the identifier, 1 to 128 letters, digits, '.', '_', ':' or '-'
 */
public record ServiceName(String value) implements Comparable<ServiceName> {

    public ServiceName {
        Identifiers.check("service", value);
    }

    @Override
    public int compareTo(ServiceName other) {
        return value.compareTo(other.value);
    }

    // Written out, because linking the generated methods costs processor time at each start.
    @Override
    public boolean equals(Object other) {
        return other instanceof ServiceName that && value.equals(that.value);
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
