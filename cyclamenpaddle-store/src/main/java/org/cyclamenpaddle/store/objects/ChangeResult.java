package org.cyclamenpaddle.store.objects;

import java.util.Optional;
import java.util.OptionalLong;

/** What became of a conditional change. */
public sealed interface ChangeResult {

    /**
     * The change is done.
     *
     * @param version its revision; empty for a deletion whose answer was lost
     */
    record Accepted(OptionalLong version) implements ChangeResult {}

    /**
     * Another change stands.
     *
     * @param winner the object as it stands; empty if there is none
     * @param tookEffectPossible whether the lost change may have been in force before the winner,
     *     which is so only if an answer to it was lost
     */
    record Conflict(Optional<StoredObject> current, boolean mayHaveTakenEffect)
            implements ChangeResult {}
}
