package org.cyclamenpaddle.relay.front;

/** Ends the reading of a body that does not fit into the account of bytes. */
final class BodyRefusedException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    BodyRefusedException() {
        super("no memory for the body", null, false, false);
    }
}
