package org.cyclamenpaddle.router.operator;

import java.util.Optional;
import org.cyclamenpaddle.core.outcome.Refusal;

/**
 * A refusal of a configuration change.
 *
 * @param refusal reason and detail
 * @param current the current object, if a concurrent change was applied first and the object exists
 */
public record ChangeRefusal(Refusal refusal, Optional<StoredObject> current) {

    public ChangeRefusal {
        if (refusal == null || current == null) {
            throw new IllegalArgumentException(
                    "refusal and current object of a change refusal must not be null");
        }
    }

    /** Creates a refusal that was not caused by a concurrent change. */
    public static ChangeRefusal of(Refusal refusal) {
        return new ChangeRefusal(refusal, Optional.empty());
    }
}
