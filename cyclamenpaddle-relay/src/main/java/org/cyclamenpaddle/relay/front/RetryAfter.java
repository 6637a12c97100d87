package org.cyclamenpaddle.relay.front;

import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.ResponseHeadersBuilder;
import java.util.Locale;
import java.util.OptionalLong;
import java.util.function.BooleanSupplier;
import java.util.function.DoubleSupplier;

/**
 * Builds the responses that the relay sends itself, with {@code Retry-After} and {@code Connection}
 * headers.
 */
final class RetryAfter {

    /** Retry delay of a request whose route is not known, in milliseconds. */
    private static final long DEFAULT_RETRY_MILLIS = 150;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final DoubleSupplier mRandom;
    private final BooleanSupplier mStopping;

    RetryAfter(DoubleSupplier random, BooleanSupplier stopping) {
        mRandom = random;
        mStopping = stopping;
    }

    /** Returns the head of a response that the relay sends itself, without a retry delay. */
    ResponseHeaders refusal(int status) {
        return refusal(status, OptionalLong.empty());
    }

    /** Returns the head of a refusal with a retry delay, for a request without a route. */
    ResponseHeaders retryLater(int status) {
        return refusal(status, OptionalLong.of(DEFAULT_RETRY_MILLIS));
    }

    /**
     * Returns the head of a response that the relay sends itself; its body is empty.
     *
     * @param status HTTP status
     * @param minMillis minimum time after which the caller may retry; empty if it must not
     */
    ResponseHeaders refusal(int status, OptionalLong minMillis) {
        ResponseHeadersBuilder headers =
                ResponseHeaders.builder(HttpStatus.valueOf(status))
                        .set(HttpHeaderNames.CONTENT_LENGTH, "0");
        minMillis.ifPresent(
                millis -> headers.set(HttpHeaderNames.RETRY_AFTER, jitteredSeconds(millis)));
        return closeIfStopping(headers).build();
    }

    /**
     * Returns the retry delay in seconds, with jitter so that callers refused together do not
     * return together.
     */
    private String jitteredSeconds(long minMillis) {
        double millis = minMillis * (1 + mRandom.getAsDouble());
        return String.format(Locale.ROOT, "%.3f", millis / MILLIS_PER_SECOND);
    }

    /** Closes the caller's connection after this response while the host is stopping. */
    ResponseHeadersBuilder closeIfStopping(ResponseHeadersBuilder headers) {
        if (mStopping.getAsBoolean()) {
            headers.set(HttpHeaderNames.CONNECTION, "close");
        }
        return headers;
    }
}
