package org.cyclamenpaddle.router.request;

import java.util.Optional;
import org.cyclamenpaddle.core.id.RequestId;
import org.cyclamenpaddle.core.outcome.Refusal;
import org.cyclamenpaddle.routing.expect.OutputLengthEstimator;
import org.cyclamenpaddle.routing.limit.ConcurrencyLimit;
import org.cyclamenpaddle.routing.request.RequestShape;

/**
 * Tracks output lengths and in-flight requests of this host, to estimate and limit new requests.
 * Thread-safe.
 */
public final class RequestAccounting {

    private final OutputLengthEstimator mLengths;
    private final ConcurrencyLimit mLimit;
    private final int mFallbackTokens;

    /**
     * Creates an instance without observations.
     *
     * @param lengths estimates output lengths; accessed only through this object, which
     *     synchronizes it
     * @param limit limits in-flight requests; accessed only through this object, which synchronizes
     *     it
     * @param fallbackTokens maximum expected output tokens while no length has been observed
     */
    public RequestAccounting(
            OutputLengthEstimator lengths, ConcurrencyLimit limit, int fallbackTokens) {
        mLengths = lengths;
        mLimit = limit;
        mFallbackTokens = fallbackTokens;
    }

    /** Returns the expected number of output tokens, at most the caller's maximum. */
    public synchronized int expectedTokens(RequestShape shape) {
        int fallback = Math.min(shape.maxTokens(), mFallbackTokens);
        int estimated = mLengths.expectedTokens(shape.service(), shape.team(), shape.maxTokens());
        return estimated == shape.maxTokens() ? fallback : estimated;
    }

    /** Counts a request as in flight, or returns a refusal if a limit is reached. */
    public synchronized Optional<Refusal> begin(RequestShape shape) {
        return mLimit.begin(shape.id(), shape.service(), shape.team());
    }

    /** Stops counting a request as in flight; idempotent. */
    public synchronized void end(RequestId request) {
        mLimit.end(request);
    }

    /** Records the output length of a completed request. */
    public synchronized void completed(RequestShape shape, int tokens) {
        mLengths.completed(shape.service(), shape.team(), tokens);
    }
}
