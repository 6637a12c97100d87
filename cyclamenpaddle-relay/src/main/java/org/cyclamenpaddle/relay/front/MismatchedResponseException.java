package org.cyclamenpaddle.relay.front;

/** A connection carried a response to another request than the call that was sent on it. */
final class MismatchedResponseException extends RuntimeException {

    private static final long serialVersionUID = 1;

    MismatchedResponseException(String backend) {
        super("backend server " + backend + " responded to another request", null, false, false);
    }
}
