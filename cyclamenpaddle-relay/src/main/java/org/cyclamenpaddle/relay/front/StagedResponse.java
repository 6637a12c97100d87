package org.cyclamenpaddle.relay.front;

import com.linecorp.armeria.common.HttpData;
import java.io.ByteArrayOutputStream;
import java.util.Optional;
import org.cyclamenpaddle.core.id.SoftwareVersion;
import org.cyclamenpaddle.engine.http.ResponseEnd;
import org.cyclamenpaddle.relay.retry.EventFramer;
import org.cyclamenpaddle.relay.wire.BackendResponse;
import org.cyclamenpaddle.routing.buffer.RequestBytes;

/**
 * Response of a second server, held back until it is decided that it continues the response to the
 * caller in place of the first server's.
 *
 * <p>Until then nothing of it reaches the caller. Afterwards everything is passed on.
 */
final class StagedResponse implements ResponseSink {

    /** Bytes of one event after which the response is kept although the event is incomplete. */
    private static final int MAX_STAGED_BYTES = 64 << 10;

    private final CallerResponse mResponse;
    private final RequestBytes mBytes;
    private final Runnable mResponds;
    private final EventFramer mFramer;
    private final ByteArrayOutputStream mStaged = new ByteArrayOutputStream();
    private BackendResponse mHead;
    private Optional<SoftwareVersion> mVersion = Optional.empty();
    private Optional<ResponseEnd> mEnd = Optional.empty();
    private boolean mKept;

    /**
     * Creates a response of which nothing has arrived.
     *
     * @param responds run when the server has sent the next event; may call {@link #keep}
     */
    StagedResponse(CallerResponse response, RequestBytes bytes, Runnable responds) {
        mResponse = response;
        mBytes = bytes;
        mResponds = responds;
        mFramer = new EventFramer(response.lastEventId());
    }

    @Override
    public boolean mayContinueWith(BackendResponse head) {
        return mResponse.mayContinueWith(head);
    }

    @Override
    public void head(BackendResponse head, Optional<SoftwareVersion> version) {
        mHead = head;
        mVersion = version;
        if (mKept) {
            mResponse.head(head, version);
        }
    }

    @Override
    public void data(HttpData data, long nowMillis, Runnable next) {
        if (mKept) {
            mResponse.data(data, nowMillis, next);
            return;
        }
        byte[] bytes = data.array();
        mStaged.writeBytes(bytes);
        mBytes.received(bytes.length);
        boolean event =
                mResponse.isEventStream(mHead)
                        && mFramer.offer(bytes).length > 0
                        && mFramer.events() > 0;
        if (event || mHead.success() && mStaged.size() > MAX_STAGED_BYTES) {
            mResponds.run();
        }
        if (mKept) {
            forward(nowMillis, next);
        } else {
            mBytes.readNext();
            next.run();
        }
    }

    /**
     * Continues the response to the caller with this one, from the next data on. What the first
     * server has sent of an incomplete event is discarded.
     */
    void keep() {
        mKept = true;
        mResponse.discardPartial();
        if (mHead != null) {
            mResponse.head(mHead, mVersion);
        }
    }

    /** Passes on what has been held back, while more data is requested already. */
    void forwardStaged(long nowMillis) {
        forward(nowMillis, () -> {});
        mEnd.ifPresent(mResponse::ended);
    }

    private void forward(long nowMillis, Runnable next) {
        byte[] staged = mStaged.toByteArray();
        discard();
        if (staged.length > 0) {
            mResponse.data(HttpData.wrap(staged), nowMillis, next);
        }
    }

    /** Discards what has been held back. */
    void discard() {
        mBytes.discarded(mStaged.size());
        mStaged.reset();
    }

    @Override
    public ResponseEnd ended(ResponseEnd framed) {
        if (mKept) {
            return mResponse.ended(framed);
        }
        mEnd = Optional.of(framed);
        return mResponse.endOf(mFramer, mHead, framed);
    }

    @Override
    public boolean isForwarding() {
        return mResponse.isForwarding();
    }
}
