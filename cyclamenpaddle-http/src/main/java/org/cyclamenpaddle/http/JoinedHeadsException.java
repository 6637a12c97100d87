package org.cyclamenpaddle.http;

import com.linecorp.armeria.common.ProtocolViolationException;

/** Reports a response head that contains the status line of another response. */
public final class JoinedHeadsException extends ProtocolViolationException {

    private static final long serialVersionUID = 1;

    JoinedHeadsException() {
        super("two response heads joined");
    }

    /** The exception describes what a server has sent, so it has no stack trace. */
    @Override
    public Throwable fillInStackTrace() {
        return this;
    }
}
