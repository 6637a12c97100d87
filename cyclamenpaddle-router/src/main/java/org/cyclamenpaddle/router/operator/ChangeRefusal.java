package org.cyclamenpaddle.router.operator;

import java.util.Optional;
import org.cyclamenpaddle.core.outcome.Refusal;

/**
 * Why a change was not made.
 *
 * @param refusal reason and detail
 * @param current the object as it is, if another change came first and the object exists
 */
public record ChangeRefusal(Refusal refusal, Optional<StoredObject> current) {

    public ChangeRefusal {
        if (refusal == null || current == null) {
            throw new IllegalArgumentException("change refusal needs a refusal");
        }
    }

    /** Returns a refusal that no other change caused. */
    public static ChangeRefusal of(Refusal refusal) {
        return new ChangeRefusal(refusal, Optional.empty());
    }
}
