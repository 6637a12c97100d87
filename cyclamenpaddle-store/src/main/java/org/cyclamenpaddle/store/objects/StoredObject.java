package org.cyclamenpaddle.store.objects;

/**
 * An object as stored by the platform.
 *
 * @param key its key
 * @param version the store-wide revision that wrote it, above 0
 * @param value its text
 */
public record StoredObject(String key, long version, String value) {
    public StoredObject {
        if (key == null || value == null) {
            throw new IllegalArgumentException(
                    "stored object " + key + " must have a key and a value");
        }
        if (version <= 0) {
            throw new IllegalArgumentException(
                    "version " + version + " of " + key + " must be above 0");
        }
    }
}
