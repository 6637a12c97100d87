package org.cyclamenpaddle.core.id;

/**
 * Identifier of one configuration change; it shows whether a change whose response was lost took
 * effect.
 *
 * @param value text of the identifier, 1 to 128 letters, digits, '.', '_', ':' or '-'
 */
public record ChangeId(String value) implements Comparable<ChangeId> {

    public ChangeId {
        Identifiers.check("change", value);
    }

    @Override
    public int compareTo(ChangeId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
