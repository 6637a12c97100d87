package org.cyclamenpaddle.store.objects;

/**
 * An object as the platform holds it.
 *
 * @param key its key
 * @param version the store-wide revision that wrote it, above 0
 * @param value its text
 */
public record StoredObject(String key, long version, String value) {
    public StoredObject {
        if (key == null || value == null) {
            throw new IllegalArgumentException("stored object " + key + " lacks key or value");
        }
        if (version <= 0) {
            throw new IllegalArgumentException(
                    "version " + version + " of " + key + " must be above 0");
        }
    }
}
