package org.cyclamenpaddle.relay.front;

import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.ResponseHeadersBuilder;
import java.util.Locale;
import java.util.function.BooleanSupplier;
import java.util.function.DoubleSupplier;
import org.cyclamenpaddle.routing.place.PlaceSearch;

/** When refused callers are asked to come back, and whether kept connections should end. */
final class RetryAfter {

    /**
     * Wait before a plain call comes back, in milliseconds: several calls' work, so that a place is
     * free, and a small part of the second and a half that such callers have.
     */
    private static final long PLAIN_MILLIS = 150;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final DoubleSupplier mRandom;
    private final BooleanSupplier mStopping;

    RetryAfter(DoubleSupplier random, BooleanSupplier stopping) {
        mRandom = random;
        mStopping = stopping;
    }

    /**
     * Returns the head of an answer that the relay gives itself; its body is empty.
     *
     * @param status HTTP status
     * @param comeBack whether it tells when to come back
     * @param stream whether a generation is refused, which comes back later than a call
     */
    ResponseHeaders refusal(int status, boolean comeBack, boolean stream) {
        ResponseHeadersBuilder headers =
                ResponseHeaders.builder(HttpStatus.valueOf(status))
                        .set(HttpHeaderNames.CONTENT_LENGTH, "0");
        if (comeBack) {
            headers.set(HttpHeaderNames.RETRY_AFTER, seconds(stream));
        }
        return whileStopping(headers).build();
    }

    /** Returns the wait in seconds, spread so that callers refused together come back apart. */
    private String seconds(boolean stream) {
        double millis =
                (stream ? PlaceSearch.COME_BACK_MILLIS : PLAIN_MILLIS)
                        * (1 + mRandom.getAsDouble());
        return String.format(Locale.ROOT, "%.3f", millis / MILLIS_PER_SECOND);
    }

    /** Ends the caller's connection with this answer while the host is stopping. */
    ResponseHeadersBuilder whileStopping(ResponseHeadersBuilder headers) {
        if (mStopping.getAsBoolean()) {
            headers.set(HttpHeaderNames.CONNECTION, "close");
        }
        return headers;
    }
}
