package org.cyclamenpaddle.core.invariant;

/** Thrown when an internal invariant is violated; the process must stop. */
public final class BrokenInvariantException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message what was expected and what was found
     */
    public BrokenInvariantException(String message) {
        super(message);
    }
}
