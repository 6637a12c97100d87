package org.cyclamenpaddle.core.id;

/**
 * Identifier of one caller request, assigned by the entry host that received it.
 *
 * @param value text of the identifier, 1 to 128 letters, digits, '.', '_', ':' or '-'
 */
public record RequestId(String value) implements Comparable<RequestId> {

    public RequestId {
        Identifiers.check("request", value);
    }

    @Override
    public int compareTo(RequestId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
