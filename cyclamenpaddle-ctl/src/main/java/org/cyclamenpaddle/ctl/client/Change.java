package org.cyclamenpaddle.ctl.client;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import org.cyclamenpaddle.core.config.ObjectKey;
import org.cyclamenpaddle.core.id.ChangeId;

/**
 * A change of one object.
 *
 * @param key key of the object
 * @param spec the new spec; empty to delete
 * @param expectedVersion version that the object must be at; 0 if it must not exist
 * @param id unique id, which resolves the outcome if the response is lost
 */
public record Change(ObjectKey key, Optional<JsonNode> spec, long expectedVersion, ChangeId id) {

    public Change {
        if (key == null || spec == null || id == null) {
            throw new IllegalArgumentException("key, spec and id must not be null");
        }
        if (expectedVersion < 0) {
            throw new IllegalArgumentException(
                    "expected version " + expectedVersion + " is negative");
        }
    }
}
