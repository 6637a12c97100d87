package org.cyclamenpaddle.router.assembly;

/** Ends the process after an invariant was broken. */
@FunctionalInterface
public interface FailureStop {

    /** Takes what was thrown. */
    void stop(Throwable failure);
}
