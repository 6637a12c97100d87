package org.cyclamenpaddle.core.invariant;

import java.util.function.Supplier;

/** Assertions that stay on in production. */
public final class Invariants {

    private Invariants() {}

    /**
     * Stops the caller with {@link BrokenInvariantException} unless {@code holds}.
     *
     * @param holds whether the invariant holds
     * @param message what was expected and what was found, made only on failure
     */
    public static void require(boolean holds, Supplier<String> message) {
        if (!holds) {
            throw new BrokenInvariantException(message.get());
        }
    }
}
