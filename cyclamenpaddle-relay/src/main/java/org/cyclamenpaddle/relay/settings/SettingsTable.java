package org.cyclamenpaddle.relay.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import java.util.stream.StreamSupport;

/**
 * Table of a settings file that tracks which of its keys have been read.
 *
 * <p>Values are read one by one. Binding them to records by reflection would be shorter, but costs
 * processor time at each start, while callers wait. Not thread-safe.
 */
final class SettingsTable {

    private final String mName;
    private final JsonNode mValues;
    private final Set<String> mReadKeys = new HashSet<>();

    private SettingsTable(String name, JsonNode values) {
        mName = name;
        mValues = values;
    }

    /** Returns the root table of a file. */
    static SettingsTable root(JsonNode file) {
        return new SettingsTable("", file);
    }

    /** Returns the nested table under a key. */
    SettingsTable table(String key) {
        JsonNode values = value(key);
        require(values.isObject(), key, "must be a table");
        return new SettingsTable(mName + key + ".", values);
    }

    /** Returns the nested table under a key; empty if there is none. */
    Optional<SettingsTable> optionalTable(String key) {
        return mValues.path(key).isMissingNode() ? Optional.empty() : Optional.of(table(key));
    }

    String text(String key) {
        JsonNode value = value(key);
        require(
                value.isTextual() && !value.textValue().isBlank(),
                key,
                "must be a non-blank string");
        return value.textValue();
    }

    /** Returns an integer or a fraction; infinity and NaN are rejected. */
    double number(String key) {
        JsonNode value = value(key);
        require(
                value.isNumber() && Double.isFinite(value.doubleValue()),
                key,
                "must be a finite number");
        return value.doubleValue();
    }

    /** Returns a finite number above 0. */
    double positive(String key) {
        double number = number(key);
        require(number > 0, key, "must be above 0");
        return number;
    }

    /** Returns a finite number of 0 or more. */
    double notNegative(String key) {
        double number = number(key);
        require(number >= 0, key, "must be 0 or more");
        return number;
    }

    /** Returns an IP number with a port. */
    Endpoint endpoint(String key) {
        try {
            return Endpoint.of(text(key));
        } catch (IllegalArgumentException invalid) {
            throw new IllegalArgumentException(mName + key + ": " + invalid.getMessage());
        }
    }

    /** Returns an IP number with a port; empty if there is none. */
    Optional<Endpoint> optionalEndpoint(String key) {
        return mValues.path(key).isMissingNode() ? Optional.empty() : Optional.of(endpoint(key));
    }

    /**
     * Rejects keys that have not been read.
     *
     * <p>Safeguard: a misspelt key would be ignored, and the process would run with a value other
     * than the one in its file.
     */
    void rejectUnknownKeys() {
        String unknown =
                names().filter(name -> !mReadKeys.contains(name)).collect(Collectors.joining(", "));
        if (!unknown.isEmpty()) {
            throw new IllegalArgumentException("unknown key: " + mName + unknown);
        }
    }

    private Stream<String> names() {
        Iterable<String> names = mValues::fieldNames;
        return StreamSupport.stream(names.spliterator(), false);
    }

    private JsonNode value(String key) {
        mReadKeys.add(key);
        JsonNode value = mValues.path(key);
        require(!value.isMissingNode(), key, "is missing");
        return value;
    }

    private void require(boolean holds, String key, String problem) {
        if (!holds) {
            throw new IllegalArgumentException(mName + key + " " + problem);
        }
    }
}
