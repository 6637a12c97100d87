package org.cyclamenpaddle.router.assembly;

/** Ends the process after an invariant was broken. */
@FunctionalInterface
public interface FatalErrorHandler {

    /** Takes what was thrown. */
    void handle(Throwable failure);
}
