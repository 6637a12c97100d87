package org.cyclamenpaddle.relay.front;

import com.linecorp.armeria.common.ProtocolViolationException;

/** A backend server sent more bytes of an event or of a result than are kept. */
final class ResponseTooLongException extends ProtocolViolationException {

    private static final long serialVersionUID = 1;

    ResponseTooLongException(String what) {
        super(what);
    }
}
