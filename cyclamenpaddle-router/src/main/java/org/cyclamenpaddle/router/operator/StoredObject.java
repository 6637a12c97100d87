package org.cyclamenpaddle.router.operator;

import org.cyclamenpaddle.core.config.ObjectKey;
import org.cyclamenpaddle.core.id.ChangeId;

/**
 * A stored configuration object as seen by operators.
 *
 * @param key key of the object
 * @param version version that wrote it
 * @param changeId id of the change that wrote it
 * @param spec its spec as JSON text
 */
public record StoredObject(ObjectKey key, long version, ChangeId changeId, String spec) {

    public StoredObject {
        if (key == null || changeId == null || spec == null) {
            throw new IllegalArgumentException(
                    "key, change id and spec of a stored object must not be null");
        }
        if (version <= 0) {
            throw new IllegalArgumentException(
                    "version " + version + " of " + key.path() + " must be above 0");
        }
    }
}
