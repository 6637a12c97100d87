package org.cyclamenpaddle.core.config;

import java.util.Optional;

/**
 * Key of a configuration object, stored in the platform as {@code config/<kind>/<name>}.
 *
 * @param kind kind of the object
 * @param name name, unique within the kind
 */
public record ObjectKey(ObjectKind kind, String name) implements Comparable<ObjectKey> {

    /** Prefix of all configuration objects in the platform. */
    public static final String PREFIX = "config/";

    /** Name of the only {@link ObjectKind#IN_FORCE} object. */
    public static final String IN_FORCE_NAME = "preset";

    public ObjectKey {
        if (kind == null || name == null || name.isEmpty() || name.indexOf('/') >= 0) {
            throw new IllegalArgumentException(
                    "object key needs a kind and a name without '/': kind "
                            + kind
                            + " name "
                            + name);
        }
    }

    /** Returns the key of the object that names the preset in force. */
    public static ObjectKey inForce() {
        return new ObjectKey(ObjectKind.IN_FORCE, IN_FORCE_NAME);
    }

    /** Returns the key in the platform's object API. */
    public String path() {
        return PREFIX + kind.code() + "/" + name;
    }

    /** Returns the key whose {@link #path()} is {@code path}; empty for any other path. */
    public static Optional<ObjectKey> fromPath(String path) {
        if (!path.startsWith(PREFIX)) {
            return Optional.empty();
        }
        String[] parts = path.substring(PREFIX.length()).split("/", -1);
        if (parts.length != 2 || parts[1].isEmpty()) {
            return Optional.empty();
        }
        return ObjectKind.fromCode(parts[0]).map(kind -> new ObjectKey(kind, parts[1]));
    }

    @Override
    public int compareTo(ObjectKey other) {
        return path().compareTo(other.path());
    }
}
