package org.cyclamenpaddle.router.operator;

import java.util.OptionalLong;

/**
 * Condition that a stored object must meet for a change to be applied.
 *
 * @param version the version that the operator saw; empty if the object must not exist
 */
public record Precondition(OptionalLong version) {

    public Precondition {
        if (version.isPresent() && version.getAsLong() <= 0) {
            throw new IllegalArgumentException(
                    "version " + version.getAsLong() + " must be above 0");
        }
    }

    /** Returns the precondition that the object does not exist. */
    public static Precondition absent() {
        return new Precondition(OptionalLong.empty());
    }

    /** Returns the precondition that the current version of the object is {@code version}. */
    public static Precondition at(long version) {
        return new Precondition(OptionalLong.of(version));
    }
}
