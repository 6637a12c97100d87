package org.cyclamenpaddle.core.config;

import java.util.Optional;

/**
 * One version of a configuration object, as it is stored and passed between hosts.
 *
 * <p>Versions come from the platform's one store-wide revision, so they rise over deletion and
 * re-creation too: for a key the greater version is always the newer.
 *
 * @param key which object
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

    /** Returns whether this version says that the object was deleted. */
    public boolean tombstone() {
        return document.isEmpty();
    }
}
