package org.cyclamenpaddle.relay.front;

import com.linecorp.armeria.client.UnprocessedRequestException;

/** A call was cancelled before it was written, because its server has asked for no calls since. */
final class CallWithheldException extends RuntimeException {

    private static final long serialVersionUID = 1;

    CallWithheldException(String backend) {
        super(
                "backend server " + backend + " has asked for no requests; not sent",
                null,
                false,
                false);
    }

    /** Returns whether a call failed because it was withheld. */
    static boolean causes(Throwable failure) {
        Throwable cause =
                failure instanceof UnprocessedRequestException ? failure.getCause() : failure;
        return cause instanceof CallWithheldException;
    }
}
