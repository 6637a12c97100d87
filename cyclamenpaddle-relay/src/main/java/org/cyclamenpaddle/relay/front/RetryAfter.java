package org.cyclamenpaddle.relay.front;

import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.ResponseHeadersBuilder;
import java.util.Locale;
import java.util.OptionalLong;
import java.util.function.BooleanSupplier;
import java.util.function.DoubleSupplier;

/** When refused callers are asked to come back, and whether kept connections should end. */
final class RetryAfter {

    /** Wait before a request comes back whose route is not known, in milliseconds. */
    private static final long USUAL_MILLIS = 150;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final DoubleSupplier mRandom;
    private final BooleanSupplier mStopping;

    RetryAfter(DoubleSupplier random, BooleanSupplier stopping) {
        mRandom = random;
        mStopping = stopping;
    }

    /** Returns the head of an answer that the relay gives itself; its body is empty. */
    ResponseHeaders refusal(int status) {
        return refusal(status, OptionalLong.empty());
    }

    /** Returns the head of a refusal that tells when to come back, of a request without a route. */
    ResponseHeaders notYet(int status) {
        return refusal(status, OptionalLong.of(USUAL_MILLIS));
    }

    /**
     * Returns the head of an answer that the relay gives itself; its body is empty.
     *
     * @param status HTTP status
     * @param leastMillis least time after which the caller should come back; empty for never
     */
    ResponseHeaders refusal(int status, OptionalLong leastMillis) {
        ResponseHeadersBuilder headers =
                ResponseHeaders.builder(HttpStatus.valueOf(status))
                        .set(HttpHeaderNames.CONTENT_LENGTH, "0");
        leastMillis.ifPresent(least -> headers.set(HttpHeaderNames.RETRY_AFTER, seconds(least)));
        return whileStopping(headers).build();
    }

    /** Returns the wait in seconds, spread so that callers refused together come back apart. */
    private String seconds(long leastMillis) {
        double millis = leastMillis * (1 + mRandom.getAsDouble());
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
