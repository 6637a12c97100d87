package org.cyclamenpaddle.router.operator;

import org.cyclamenpaddle.core.config.ObjectKey;
import org.cyclamenpaddle.core.id.ChangeId;

/**
 * A configuration object as operators see it.
 *
 * @param key which
 * @param version version that wrote it
 * @param changeId change that wrote it
 * @param spec its spec as JSON text
 */
public record StoredObject(ObjectKey key, long version, ChangeId changeId, String spec) {

    public StoredObject {
        if (key == null || changeId == null || spec == null) {
            throw new IllegalArgumentException("stored object needs key, change id and spec");
        }
        if (version <= 0) {
            throw new IllegalArgumentException(
                    "version " + version + " of " + key.path() + " must be above 0");
        }
    }
}
