package org.cyclamenpaddle.core.invariant;

import java.util.function.Supplier;

/** Assertions that are always enabled, also in production. */
public final class Invariants {

    private Invariants() {}

    /**
     * Throws {@link BrokenInvariantException} unless {@code holds}.
     *
     * @param holds whether the invariant holds
     * @param message what was expected and what was found, evaluated only on failure
     */
    public static void require(boolean holds, Supplier<String> message) {
        if (!holds) {
            throw new BrokenInvariantException(message.get());
        }
    }
}
