package org.cyclamenpaddle.ctl.client;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import org.cyclamenpaddle.core.config.ObjectKey;
import org.cyclamenpaddle.core.id.ChangeId;

/**
 * A change of one object.
 *
 * @param key which
 * @param spec the new spec; empty to delete
 * @param expected the version that the operator saw; 0 if there was none
 * @param id identity, by which a lost answer is settled
 */
public record Change(ObjectKey key, Optional<JsonNode> spec, long expected, ChangeId id) {

    public Change {
        if (key == null || spec == null || id == null) {
            throw new IllegalArgumentException("change needs key, spec and id");
        }
        if (expected < 0) {
            throw new IllegalArgumentException("expected version " + expected + " is negative");
        }
    }
}
