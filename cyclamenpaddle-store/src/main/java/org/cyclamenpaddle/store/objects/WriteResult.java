package org.cyclamenpaddle.store.objects;

import java.util.Optional;

/** The platform's answer to a conditional write or deletion. */
public sealed interface WriteResult {

    /**
     * The write was done.
     *
     * @param version the revision of this write
     */
    record Written(long version) implements WriteResult {}

    /**
     * The precondition did not hold; nothing was written.
     *
     * @param current the object as it stands; empty if there is none
     */
    record Conflict(Optional<StoredObject> current) implements WriteResult {}
}
