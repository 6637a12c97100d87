package org.cyclamenpaddle.store.objects;

import java.util.Optional;

/** Result of a conditional write or deletion. */
public sealed interface WriteResult {

    /**
     * The write took effect.
     *
     * @param version the revision of this write
     */
    record Written(long version) implements WriteResult {}

    /**
     * The precondition did not hold; nothing was written.
     *
     * @param current the current object; empty if there is none
     */
    record Conflict(Optional<StoredObject> current) implements WriteResult {}
}
