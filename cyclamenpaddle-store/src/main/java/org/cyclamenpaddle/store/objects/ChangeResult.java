package org.cyclamenpaddle.store.objects;

import java.util.Optional;
import java.util.OptionalLong;

/** Outcome of a conditional change. */
public sealed interface ChangeResult {

    /**
     * The change took effect.
     *
     * @param version its revision; empty for a deletion whose response was lost
     */
    record Accepted(OptionalLong version) implements ChangeResult {}

    /**
     * Another change is in place.
     *
     * @param current the current object; empty if there is none
     * @param mayHaveTakenEffect whether this change may have been in force before the current one,
     *     which is possible only if a response to it was lost
     */
    record Conflict(Optional<StoredObject> current, boolean mayHaveTakenEffect)
            implements ChangeResult {}
}
