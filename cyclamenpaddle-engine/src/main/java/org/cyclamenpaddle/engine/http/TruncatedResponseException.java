package org.cyclamenpaddle.engine.http;

/** Reports a response that ended before it was complete. */
public final class TruncatedResponseException extends Exception {

    private static final long serialVersionUID = 1;

    /**
     * Creates the exception.
     *
     * @param end how the response ended
     */
    public TruncatedResponseException(ResponseEnd end) {
        // Describes the server's behaviour, not that of this process, so it has no stack trace.
        super(end.text(), null, false, false);
    }
}
