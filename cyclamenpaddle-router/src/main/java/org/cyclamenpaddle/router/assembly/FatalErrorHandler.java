package org.cyclamenpaddle.router.assembly;

/** Ends the process after an invariant has been violated. */
@FunctionalInterface
public interface FatalErrorHandler {

    /** Handles the thrown error. */
    void handle(Throwable failure);
}
