package org.cyclamenpaddle.relay.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashSet;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import java.util.stream.StreamSupport;

/**
 * One table of a settings file, which knows the keys that were asked for.
 *
 * <p>Values are taken one by one. Binding them to records by reflection would be shorter, but
 * spends processor time at each start, while callers wait. Not thread-safe.
 */
final class SettingsTable {

    private final String mName;
    private final JsonNode mValues;
    private final Set<String> mKnown = new HashSet<>();

    private SettingsTable(String name, JsonNode values) {
        mName = name;
        mValues = values;
    }

    /** Returns the table that is the whole file. */
    static SettingsTable whole(JsonNode file) {
        return new SettingsTable("", file);
    }

    /** Returns the table under a key. */
    SettingsTable table(String key) {
        JsonNode values = value(key);
        require(values.isObject(), key, "is no table");
        return new SettingsTable(mName + key + ".", values);
    }

    String text(String key) {
        JsonNode value = value(key);
        require(value.isTextual() && !value.textValue().isBlank(), key, "must be a text");
        return value.textValue();
    }

    /** Returns a whole number or a fraction; infinity and "not a number" are refused. */
    double number(String key) {
        JsonNode value = value(key);
        require(
                value.isNumber() && Double.isFinite(value.doubleValue()),
                key,
                "must be a finite number");
        return value.doubleValue();
    }

    /** Returns an IP number with a port. */
    Endpoint endpoint(String key) {
        try {
            return Endpoint.of(text(key));
        } catch (IllegalArgumentException wrong) {
            throw new IllegalArgumentException(mName + key + ": " + wrong.getMessage());
        }
    }

    /**
     * Refuses keys that nothing asked for.
     *
     * <p>Safeguard: a misspelt key would be ignored, and the process would run with another value
     * than its file shows.
     */
    void close() {
        String unknown =
                names().filter(name -> !mKnown.contains(name)).collect(Collectors.joining(", "));
        if (!unknown.isEmpty()) {
            throw new IllegalArgumentException("unknown: " + mName + unknown);
        }
    }

    private Stream<String> names() {
        Iterable<String> names = mValues::fieldNames;
        return StreamSupport.stream(names.spliterator(), false);
    }

    private JsonNode value(String key) {
        mKnown.add(key);
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
