package org.cyclamenpaddle.core.config;

import java.util.Optional;

/**
 * One version of a configuration object, as stored by the platform and replicated between hosts.
 *
 * <p>Versions are taken from the platform's store-wide revision, so they also increase across
 * deletion and re-creation: for a given key the greater version is always the newer one.
 *
 * @param key key of the object
 * @param version the platform's revision that wrote it, above 0
 * @param document the object as JSON text; empty for a tombstone
 */
public record ConfigurationObject(ObjectKey key, long version, Optional<String> document) {

    public ConfigurationObject {
        if (key == null || document == null) {
            throw new IllegalArgumentException("configuration object needs a key and a document");
        }
        if (version <= 0) {
            throw new IllegalArgumentException(
                    "version " + version + " of " + key.path() + " must be above 0");
        }
    }

    /** Returns whether this version marks the object as deleted. */
    public boolean tombstone() {
        return document.isEmpty();
    }
}
