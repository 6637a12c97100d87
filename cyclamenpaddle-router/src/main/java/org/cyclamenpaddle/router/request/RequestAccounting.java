package org.cyclamenpaddle.router.request;

import java.util.Optional;
import org.cyclamenpaddle.core.id.RequestId;
import org.cyclamenpaddle.core.outcome.Refusal;
import org.cyclamenpaddle.routing.expect.OutputLengthEstimator;
import org.cyclamenpaddle.routing.limit.ConcurrencyLimit;
import org.cyclamenpaddle.routing.request.RequestShape;

/** What this host learns from its requests and holds against new ones; safe for many threads. */
public final class RequestAccounting {

    private final OutputLengthEstimator mLengths;
    private final ConcurrencyLimit mLimit;
    private final int mFallbackTokens;

    /**
     * Creates it with nothing learned.
     *
     * @param lengths estimates answers; reached only through this object
     * @param limit bounds requests in progress; reached only through this object
     * @param fallbackTokens most tokens expected of an answer of which nothing is known
     */
    public RequestAccounting(
            OutputLengthEstimator lengths, ConcurrencyLimit limit, int fallbackTokens) {
        mLengths = lengths;
        mLimit = limit;
        mFallbackTokens = fallbackTokens;
    }

    /** Returns the expected tokens of an answer, at most those that the caller allowed. */
    public synchronized int expectedTokens(RequestShape shape) {
        int most = Math.min(shape.maxTokens(), mFallbackTokens);
        int learned = mLengths.expectedTokens(shape.service(), shape.team(), shape.maxTokens());
        return learned == shape.maxTokens() ? most : learned;
    }

    /** Counts a request as in progress, or refuses it. */
    public synchronized Optional<Refusal> begin(RequestShape shape) {
        return mLimit.begin(shape.id(), shape.service(), shape.team());
    }

    /** Counts a request as in progress no more; idempotent. */
    public synchronized void end(RequestId request) {
        mLimit.end(request);
    }

    /** Learns the length of a whole answer. */
    public synchronized void completed(RequestShape shape, int tokens) {
        mLengths.completed(shape.service(), shape.team(), tokens);
    }
}
