package org.cyclamenpaddle.engine.http;

import com.linecorp.armeria.client.ClientRequestContext;
import com.linecorp.armeria.client.ResponseTimeoutException;
import com.linecorp.armeria.client.UnprocessedRequestException;
import java.util.concurrent.CompletionException;

/** How far a call without an answer came. */
public enum CallFailure {
    /** No connection came about, so that provably no byte of the call left. */
    NOT_CONNECTED,
    /** The time for the answer passed; the call may have run. */
    TIMED_OUT,
    /** The connection broke; the call may have run. */
    BROKEN;

    /**
     * Classifies a failure.
     *
     * <p>Two things must agree for {@link #NOT_CONNECTED}: the HTTP library says that the call was
     * not processed, and its log of the call names no connection. All else counts as maybe run.
     *
     * @param context the call
     * @param failure why it has no answer
     */
    public static CallFailure of(ClientRequestContext context, Throwable failure) {
        Throwable cause = cause(failure);
        if (cause instanceof UnprocessedRequestException
                && context.log().partial().channel() == null) {
            return NOT_CONNECTED;
        }
        return cause instanceof ResponseTimeoutException ? TIMED_OUT : BROKEN;
    }

    /** Returns the failure without the wrapping that futures add. */
    public static Throwable cause(Throwable failure) {
        return failure instanceof CompletionException && failure.getCause() != null
                ? failure.getCause()
                : failure;
    }
}
