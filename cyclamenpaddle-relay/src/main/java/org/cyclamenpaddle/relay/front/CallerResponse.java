package org.cyclamenpaddle.relay.front;

import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.HttpResponseWriter;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.ResponseHeadersBuilder;
import com.linecorp.armeria.common.stream.AbortedStreamException;
import java.io.ByteArrayOutputStream;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.cyclamenpaddle.core.id.SoftwareVersion;
import org.cyclamenpaddle.engine.http.ResponseEnd;
import org.cyclamenpaddle.relay.handover.HandoverHeaders;
import org.cyclamenpaddle.relay.log.RelayEvent;
import org.cyclamenpaddle.relay.retry.CallerReply;
import org.cyclamenpaddle.relay.retry.EventFramer;
import org.cyclamenpaddle.relay.retry.RetryPolicy;
import org.cyclamenpaddle.relay.wire.BackendResponse;
import org.cyclamenpaddle.routing.buffer.ByteBounds;
import org.cyclamenpaddle.routing.buffer.RequestBytes;
import org.cyclamenpaddle.routing.stream.StreamBinding;

/**
 * Assembles the single response to a caller from the responses of one or more backend servers.
 *
 * <p>Nothing is written to the caller until there is usable content: {@link #MAX_BUFFERED_BYTES} or
 * the end of a plain response, or the first event of a stream. Until then a failed attempt leaves
 * no trace and another one can replace it.
 *
 * <p>Data is accepted ahead of a slow caller as far as the account of bytes allows. Beyond that, it
 * is accepted no faster than the caller takes it.
 */
final class CallerResponse implements ResponseSink {

    /**
     * Maximum number of bytes of a plain response that are buffered; longer ones are forwarded as
     * they arrive.
     */
    private static final int MAX_BUFFERED_BYTES = 64 << 10;

    private final RelayContext mRelay;
    private final RelayRequest mRequest;
    private final RequestBytes mBytes;
    private final HttpResponseWriter mWriter;
    private final RetryAfter mRetryAfter;
    private final RetryPolicy mRetryPolicy;
    private final EventFramer mTail;
    private final ByteArrayOutputStream mBuffer = new ByteArrayOutputStream();

    /** Requests more data; null while data is requested or nothing more is expected. */
    private final AtomicReference<Runnable> mPausedRead = new AtomicReference<>();

    private long mUnqueuedBytes;
    private boolean mReachedBound;
    private BackendResponse mHead;
    private boolean mEventStream;
    private Optional<SoftwareVersion> mServing = Optional.empty();
    private StreamBinding mBinding;
    private final Consumer<StreamBinding> mBegan;
    private long mFirstMillis = -1;
    private long mLastMillis = -1;
    private long mMaxPauseMillis;
    private int mStatus;
    private ResponseEnd mEnd = ResponseEnd.CLOSED;

    CallerResponse(
            RelayContext relay,
            HttpResponseWriter writer,
            RelayRequest request,
            RequestBytes bytes,
            RetryAfter retryAfter,
            RetryPolicy retryPolicy,
            StreamBinding binding,
            Consumer<StreamBinding> began) {
        mBegan = began;
        mRelay = relay;
        mRequest = request;
        mBytes = bytes;
        mWriter = writer;
        mRetryAfter = retryAfter;
        mRetryPolicy = retryPolicy;
        mBinding = binding;
        mTail = new EventFramer(request.caller().resumeAfter());
    }

    /**
     * Accepts the head of a backend server's response, unless a response is already being
     * forwarded.
     *
     * @param version software version of the server; empty if it is not known
     */
    @Override
    public void head(BackendResponse head, Optional<SoftwareVersion> version) {
        mEventStream = isEventStream(head);
        mServing = version;
        if (!mRetryPolicy.isForwarding()) {
            mHead = head;
        }
    }

    /** Returns the versions at which the response may go on. */
    StreamBinding binding() {
        return mBinding;
    }

    /** Sets the versions at which a response that has not begun may run. */
    void bind(StreamBinding binding) {
        mBinding = binding;
    }

    @Override
    public boolean mayContinueWith(BackendResponse head) {
        return !mRetryPolicy.isForwarding() || !head.success() || isEventStream(head);
    }

    /** A response on a streaming route is an event stream, unless its type says otherwise. */
    boolean isEventStream(BackendResponse head) {
        MediaType type = head.headers().contentType();
        return head.success()
                && (type == null
                        ? mRequest.route().kind().streams()
                        : type.is(MediaType.EVENT_STREAM));
    }

    @Override
    public void data(HttpData data, long nowMillis, Runnable next) {
        mBytes.received(data.length());
        mUnqueuedBytes += data.length();
        byte[] forwarded = bytesToForward(data.array());
        if (forwarded.length == 0) {
            if (mTail.exceedsBound()) {
                throw new ResponseTooLongException("event without an end");
            }
            mBytes.readNext();
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
        queue(forwarded, next);
    }

    private void queue(byte[] forwarded, Runnable next) {
        mUnqueuedBytes -= forwarded.length;
        mBytes.queued(forwarded.length);
        if (!mWriter.tryWrite(HttpData.wrap(forwarded))) {
            return;
        }
        mPausedRead.set(next);
        mWriter.whenConsumed()
                .thenRun(
                        () -> {
                            mBytes.delivered(forwarded.length);
                            readIfAllowed();
                        });
        if (!readIfAllowed()) {
            recordBoundReached();
        }
    }

    /** Requests more data unless it must wait, and returns whether none is waiting. */
    private boolean readIfAllowed() {
        if (mPausedRead.get() == null) {
            return true;
        }
        if (!mBytes.tryReadNext()) {
            return false;
        }
        Optional.ofNullable(mPausedRead.getAndSet(null)).ifPresent(Runnable::run);
        return true;
    }

    private void recordBoundReached() {
        ByteBounds bounds = mRelay.bytes().bounds();
        if (!mReachedBound && bounds.responseBytes() > 0) {
            mReachedBound = true;
            mRelay.log().log(
                    RelayEvent.RESPONSE_AT_BOUND,
                    mRequest.caller().id(),
                    mRequest.route().name(),
                    mBytes.response(),
                    bounds.responseBytes(),
                    mRelay.bytes().held(),
                    bounds.totalBytes());
        }
    }

    @Override
    public ResponseEnd ended(ResponseEnd framed) {
        mEnd = mEventStream ? endOfStream(mTail, framed) : framed;
        return mEnd;
    }

    /**
     * Decides how a response ended that is not forwarded yet.
     *
     * @param framer framer that has got all of its body
     */
    ResponseEnd endOf(EventFramer framer, BackendResponse head, ResponseEnd framed) {
        return isEventStream(head) ? endOfStream(framer, framed) : framed;
    }

    private ResponseEnd endOfStream(EventFramer framer, ResponseEnd framed) {
        if (framer.isInsideEvent()) {
            return ResponseEnd.INSIDE_EVENT;
        }
        boolean empty = framer.events() == 0 && framer.lastEventId().isEmpty();
        return empty && framed == ResponseEnd.CLOSED && mRequest.route().kind().streams()
                ? ResponseEnd.NO_EVENT
                : framed;
    }

    /** Discards the incomplete part of a response that another one replaces. */
    void discardPartial() {
        mTail.discardPartialEvent();
        mBuffer.reset();
        mBytes.discarded(mUnqueuedBytes);
        mUnqueuedBytes = 0;
    }

    /** Completes the response. */
    void finish() {
        writeHead();
        byte[] rest = mEventStream ? mTail.takePartialEvent() : mBuffer.toByteArray();
        if (rest.length > 0) {
            mWriter.tryWrite(HttpData.wrap(rest));
        }
        mWriter.close();
    }

    /** Runs {@code work} when the caller has taken the response or the response was aborted. */
    void whenDelivered(Runnable work) {
        mWriter.whenComplete().whenComplete((done, failure) -> work.run());
    }

    /** Aborts a response that is complete, but that the caller has not taken. */
    void abortDelivery() {
        mWriter.abort();
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

    /** Passes on the refusal of a host to which the request was handed. */
    void passRefusal(ResponseHeaders head) {
        mStatus = head.status().code();
        mWriter.tryWrite(
                mRetryAfter.closeIfStopping(HopByHopHeaders.strip(head).toBuilder()).build());
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

    /** Returns how the last complete response of a backend server ended. */
    ResponseEnd end() {
        return mEnd;
    }

    @Override
    public boolean isForwarding() {
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
        if (mEventStream) {
            return mTail.offer(bytes);
        }
        if (mRetryPolicy.isForwarding()) {
            return bytes;
        }
        mBuffer.writeBytes(bytes);
        boolean mayWait = mBytes.mayWaitForMore() || !mHead.success();
        if (mBuffer.size() < MAX_BUFFERED_BYTES && mayWait) {
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
        if (mEventStream) {
            mBinding = StreamBinding.to(mServing);
            mBegan.accept(mBinding);
        }
        ResponseHeaders stripped =
                HandoverHeaders.stripServed(HopByHopHeaders.strip(mHead.headers()));
        ResponseHeadersBuilder headers =
                (mRequest.ofOwnCaller()
                                ? stripped
                                : HandoverHeaders.withServedVersion(stripped, mServing))
                        .toBuilder();
        if (mEventStream) {
            // Another server may resume the stream and complete it with another length.
            headers.remove(HttpHeaderNames.CONTENT_LENGTH);
        }
        mStatus = headers.status().code();
        mWriter.tryWrite(mRetryAfter.closeIfStopping(headers).build());
    }
}
