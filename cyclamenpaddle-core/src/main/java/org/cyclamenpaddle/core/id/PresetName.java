package org.cyclamenpaddle.core.id;

/**
 * Name of a preset.
 *
 * @param value text of the identifier, 1 to 128 letters, digits, '.', '_', ':' or '-'
 */
public record PresetName(String value) implements Comparable<PresetName> {

    public PresetName {
        Identifiers.check("preset", value);
    }

    @Override
    public int compareTo(PresetName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
