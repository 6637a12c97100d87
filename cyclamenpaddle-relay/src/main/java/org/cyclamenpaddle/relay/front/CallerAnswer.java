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
 * The one answer that a caller gets, put together from what backend servers send.
 *
 * <p>Nothing reaches the caller before there is something that it can use: the whole of a short
 * answer, or the first event of a stream. Until then a failed send leaves no trace and another one
 * can take its place.
 */
final class CallerAnswer {

    /**
     * Bytes of a plain answer that are held back at most; longer ones are forwarded as they come.
     */
    private static final int HELD_BYTES = 64 << 10;

    private final HttpResponseWriter mWriter;
    private final RetryAfter mRetryAfter;
    private final RetryPolicy mRetryPolicy;
    private final boolean mStreams;
    private final EventFramer mTail;
    private final ByteArrayOutputStream mHeld = new ByteArrayOutputStream();
    private BackendResponse mHead;
    private long mFirstMillis = -1;
    private long mLastMillis = -1;
    private long mPauseMillis;
    private int mStatus;

    CallerAnswer(
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

    /** Takes the head of a backend server's answer that may become the caller's. */
    void head(BackendResponse head) {
        if (!mRetryPolicy.isForwarding()) {
            mHead = head;
        }
    }

    /**
     * Takes a piece of the body.
     *
     * @param next run when there is room for the next piece
     */
    void data(HttpData data, long nowMillis, Runnable next) {
        byte[] ready = ready(data.array());
        if (ready.length == 0) {
            next.run();
            return;
        }
        if (mFirstMillis < 0) {
            mFirstMillis = nowMillis;
            mLastMillis = nowMillis;
        }
        mPauseMillis = Math.max(mPauseMillis, nowMillis - mLastMillis);
        mLastMillis = nowMillis;
        writeHead();
        if (mWriter.tryWrite(HttpData.wrap(ready))) {
            mWriter.whenConsumed().thenRun(next);
        }
    }

    /** Forgets what came of an answer that another one takes the place of. */
    void dropUnfinished() {
        mTail.discardPartialEvent();
        mHeld.reset();
    }

    /** Ends the answer as complete. */
    void finish() {
        writeHead();
        byte[] rest = mStreams ? mTail.takePartialEvent() : mHeld.toByteArray();
        if (rest.length > 0) {
            mWriter.tryWrite(HttpData.wrap(rest));
        }
        mWriter.close();
    }

    /** Ends the answer so that it cannot be taken for a complete one. */
    void cut() {
        mWriter.close(AbortedStreamException.get());
    }

    /**
     * Answers without any backend server's answer.
     *
     * @param reply what the caller is told
     * @param leastMillis least time after which it may come back, if it may
     */
    void refuse(CallerReply reply, long leastMillis) {
        mStatus = reply.status();
        OptionalLong comeBack =
                reply.hasRetryAfter() ? OptionalLong.of(leastMillis) : OptionalLong.empty();
        mWriter.tryWrite(mRetryAfter.refusal(mStatus, comeBack));
        mWriter.close();
    }

    /** Returns the id of the last whole event that the caller was given or already had. */
    Optional<String> lastEventId() {
        return mTail.lastEventId();
    }

    /** Returns the longest pause within the answer. */
    long pauseMillis() {
        return mPauseMillis;
    }

    /** Returns the whole events of a stream that the caller was given. */
    long events() {
        return mTail.events();
    }

    boolean isForwarding() {
        return mRetryPolicy.isForwarding();
    }

    int status() {
        return mStatus;
    }

    /** Returns how long the first byte took, or -1. */
    long firstMillis(long startMillis) {
        return mFirstMillis < 0 ? -1 : mFirstMillis - startMillis;
    }

    private byte[] ready(byte[] bytes) {
        if (mStreams) {
            return mTail.offer(bytes);
        }
        if (mRetryPolicy.isForwarding()) {
            return bytes;
        }
        mHeld.writeBytes(bytes);
        if (mHeld.size() < HELD_BYTES) {
            return new byte[0];
        }
        byte[] held = mHeld.toByteArray();
        mHeld.reset();
        return held;
    }

    private void writeHead() {
        if (mRetryPolicy.isForwarding()) {
            return;
        }
        mRetryPolicy.beginForwarding();
        ResponseHeaders headers = ConnectionHeaders.without(mHead.headers());
        mStatus = headers.status().code();
        mWriter.tryWrite(mRetryAfter.whileStopping(headers.toBuilder()).build());
    }
}
