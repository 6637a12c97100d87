package org.cyclamenpaddle.engine.http;

import com.linecorp.armeria.client.ClientRequestContext;
import com.linecorp.armeria.client.ResponseTimeoutException;
import com.linecorp.armeria.client.UnprocessedRequestException;
import java.util.concurrent.CompletionException;

/** Why a call got no response, and whether it may have run. */
public enum CallFailure {
    /** No connection was established, so provably no byte of the call was sent. */
    NOT_CONNECTED,
    /** The response timed out; the call may have run. */
    TIMED_OUT,
    /** The connection was lost; the call may have run. */
    BROKEN;

    /**
     * Classifies a failure.
     *
     * <p>Two conditions must hold for {@link #NOT_CONNECTED}: the HTTP library reports that the
     * call was not processed, and its log of the call has no connection. In all other cases the
     * call may have run.
     *
     * @param context the call
     * @param failure why it has no response
     */
    public static CallFailure of(ClientRequestContext context, Throwable failure) {
        Throwable cause = cause(failure);
        if (cause instanceof UnprocessedRequestException
                && context.log().partial().channel() == null) {
            return NOT_CONNECTED;
        }
        return cause instanceof ResponseTimeoutException ? TIMED_OUT : BROKEN;
    }

    /** Returns the failure without the wrapper that a future adds. */
    public static Throwable cause(Throwable failure) {
        return failure instanceof CompletionException && failure.getCause() != null
                ? failure.getCause()
                : failure;
    }
}
