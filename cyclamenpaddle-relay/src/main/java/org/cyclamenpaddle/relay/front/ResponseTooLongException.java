package org.cyclamenpaddle.relay.front;

/** A backend server sent more bytes of an event or of a result than are kept. */
final class ResponseTooLongException extends RuntimeException {

    private static final long serialVersionUID = 1;

    ResponseTooLongException(String what) {
        super(what, null, false, false);
    }
}
