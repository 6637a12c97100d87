package org.cyclamenpaddle.relay.front;

import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpResponseWriter;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.stream.AbortedStreamException;
import java.io.ByteArrayOutputStream;
import java.util.Optional;
import java.util.OptionalLong;
import org.cyclamenpaddle.relay.retry.CallerReply;
import org.cyclamenpaddle.relay.retry.EventFramer;
import org.cyclamenpaddle.relay.retry.RetryPolicy;
import org.cyclamenpaddle.relay.wire.BackendResponse;

/**
 * Assembles the single response to a caller from the responses of one or more backend servers.
 *
 * <p>Nothing is written to the caller until there is usable content: {@link #MAX_BUFFERED_BYTES} or
 * the end of a plain response, or the first event of a stream. Until then a failed attempt leaves
 * no trace and another one can replace it.
 */
final class CallerResponse {

    /**
     * Maximum number of bytes of a plain response that are buffered; longer ones are forwarded as
     * they arrive.
     */
    private static final int MAX_BUFFERED_BYTES = 64 << 10;

    private final HttpResponseWriter mWriter;
    private final RetryAfter mRetryAfter;
    private final RetryPolicy mRetryPolicy;
    private final boolean mStreams;
    private final EventFramer mTail;
    private final ByteArrayOutputStream mBuffer = new ByteArrayOutputStream();
    private BackendResponse mHead;
    private long mFirstMillis = -1;
    private long mLastMillis = -1;
    private long mMaxPauseMillis;
    private int mStatus;

    CallerResponse(
            HttpResponseWriter writer,
            RelayRequest request,
            RetryAfter retryAfter,
            RetryPolicy retryPolicy) {
        mWriter = writer;
        mRetryAfter = retryAfter;
        mRetryPolicy = retryPolicy;
        mStreams = request.route().kind().streams();
        mTail = new EventFramer(request.caller().resumeAfter());
    }

    /**
     * Accepts the head of a backend server's response, unless a response is already being
     * forwarded.
     */
    void head(BackendResponse head) {
        if (!mRetryPolicy.isForwarding()) {
            mHead = head;
        }
    }

    /**
     * Accepts body data.
     *
     * @param next run when more data can be accepted
     */
    void data(HttpData data, long nowMillis, Runnable next) {
        byte[] forwarded = bytesToForward(data.array());
        if (forwarded.length == 0) {
            next.run();
            return;
        }
        if (mFirstMillis < 0) {
            mFirstMillis = nowMillis;
            mLastMillis = nowMillis;
        }
        mMaxPauseMillis = Math.max(mMaxPauseMillis, nowMillis - mLastMillis);
        mLastMillis = nowMillis;
        writeHead();
        if (mWriter.tryWrite(HttpData.wrap(forwarded))) {
            mWriter.whenConsumed().thenRun(next);
        }
    }

    /** Discards the incomplete part of a response that another one replaces. */
    void discardPartial() {
        mTail.discardPartialEvent();
        mBuffer.reset();
    }

    /** Completes the response. */
    void finish() {
        writeHead();
        byte[] rest = mStreams ? mTail.takePartialEvent() : mBuffer.toByteArray();
        if (rest.length > 0) {
            mWriter.tryWrite(HttpData.wrap(rest));
        }
        mWriter.close();
    }

    /** Aborts the response so that the caller cannot mistake it for a complete one. */
    void abort() {
        mWriter.close(AbortedStreamException.get());
    }

    /**
     * Responds on behalf of the relay, without a backend server's response.
     *
     * @param reply outcome reported to the caller
     * @param minDelayMillis minimum time after which the caller may retry, if it may
     */
    void refuse(CallerReply reply, long minDelayMillis) {
        mStatus = reply.status();
        OptionalLong retryAfter =
                reply.hasRetryAfter() ? OptionalLong.of(minDelayMillis) : OptionalLong.empty();
        mWriter.tryWrite(mRetryAfter.refusal(mStatus, retryAfter));
        mWriter.close();
    }

    /** Returns the id of the last complete event that the caller was sent or already had. */
    Optional<String> lastEventId() {
        return mTail.lastEventId();
    }

    /** Returns the longest pause within the response. */
    long maxPauseMillis() {
        return mMaxPauseMillis;
    }

    /** Returns the number of complete stream events sent to the caller. */
    long events() {
        return mTail.events();
    }

    boolean isForwarding() {
        return mRetryPolicy.isForwarding();
    }

    int status() {
        return mStatus;
    }

    /** Returns the time until the first byte in milliseconds; -1 before it. */
    long firstMillis(long startMillis) {
        return mFirstMillis < 0 ? -1 : mFirstMillis - startMillis;
    }

    private byte[] bytesToForward(byte[] bytes) {
        if (mStreams) {
            return mTail.offer(bytes);
        }
        if (mRetryPolicy.isForwarding()) {
            return bytes;
        }
        mBuffer.writeBytes(bytes);
        if (mBuffer.size() < MAX_BUFFERED_BYTES) {
            return new byte[0];
        }
        byte[] buffered = mBuffer.toByteArray();
        mBuffer.reset();
        return buffered;
    }

    private void writeHead() {
        if (mRetryPolicy.isForwarding()) {
            return;
        }
        mRetryPolicy.beginForwarding();
        ResponseHeaders headers = HopByHopHeaders.strip(mHead.headers());
        mStatus = headers.status().code();
        mWriter.tryWrite(mRetryAfter.closeIfStopping(headers.toBuilder()).build());
    }
}
