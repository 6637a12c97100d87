package org.cyclamenpaddle.engine.model;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.linecorp.armeria.client.ClientRequestContext;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpHeaders;
import com.linecorp.armeria.common.HttpObject;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.ResponseHeaders;
import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.util.concurrent.atomic.AtomicBoolean;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;

/** Reads one decode stream and hands its events to the listener. */
final class DecodeStream implements Subscriber<HttpObject>, StreamHandle {

    private static final int MAX_LINE_BYTES = 64 << 10;

    private final EngineJson mJson;
    private final EngineStreamListener mListener;
    private final ClientRequestContext mContext;
    private final HttpResponse mResponse;
    private final LineSplitter mLines = new LineSplitter(MAX_LINE_BYTES);
    private final ByteArrayOutputStream mErrorBody = new ByteArrayOutputStream();
    private final AtomicBoolean mOver = new AtomicBoolean();
    private Subscription mSubscription;
    private int mStatus;

    DecodeStream(
            EngineJson json,
            EngineStreamListener listener,
            ClientRequestContext context,
            HttpResponse response) {
        mJson = json;
        mListener = listener;
        mContext = context;
        mResponse = response;
    }

    void start() {
        mResponse.subscribe(this, mContext.eventLoop());
    }

    @Override
    public void close() {
        if (mOver.compareAndSet(false, true)) {
            mResponse.abort();
        }
    }

    @Override
    public void onSubscribe(Subscription subscription) {
        mSubscription = subscription;
        subscription.request(1);
    }

    @Override
    public void onNext(HttpObject object) {
        if (mOver.get()) {
            return;
        }
        if (object instanceof ResponseHeaders headers) {
            mStatus = headers.status().code();
        } else if (object instanceof HttpData data) {
            take(data.array());
        } else if (!(object instanceof HttpHeaders)) {
            throw new IllegalStateException("unknown part of a response: " + object);
        }
        mSubscription.request(1);
    }

    @Override
    public void onError(Throwable failure) {
        finish(() -> mListener.onBroken(HttpEngineClient.failed(mContext, failure)));
    }

    @Override
    public void onComplete() {
        if (mStatus == HttpStatus.OK.code()) {
            // Failure: an engine that dies may close its connection cleanly in the middle of the
            // stream, and the caller would take a cut answer for a whole one. Only the engine's
            // end event makes an answer whole, so the mere end of the body is a broken stream.
            finish(() -> mListener.onBroken(new EngineFailure.Unreachable(true)));
        } else {
            EngineFailure failure = mJson.failure(mStatus, mErrorBody.toString(UTF_8));
            finish(() -> refused(failure));
        }
    }

    // An answer that is not of the protocol, such as a 500, proves nothing about what the engine
    // holds, so the attempt counts as one that may go on.
    private void refused(EngineFailure failure) {
        if (failure instanceof EngineFailure.Protocol) {
            mListener.onBroken(failure);
        } else {
            mListener.onFailed(failure);
        }
    }

    private void take(byte[] bytes) {
        if (mStatus != HttpStatus.OK.code()) {
            keepErrorBody(bytes);
            return;
        }
        for (String line : mLines.feed(bytes)) {
            if (mOver.get()) {
                return;
            }
            deliver(line);
        }
        if (mLines.oversized()) {
            broken(new EngineFailure.Protocol("line of over " + MAX_LINE_BYTES + " bytes"));
        }
    }

    private void deliver(String line) {
        Either<EngineFailure, Boolean> last =
                mJson.read(line, StreamEvent.class).flatMap(event -> event.deliver(mListener));
        last.peekLeft(this::broken);
        if (last.getOrElse(false)) {
            close();
        }
    }

    private void broken(EngineFailure failure) {
        finish(() -> mListener.onBroken(failure));
        mResponse.abort();
    }

    private void finish(Runnable lastCallback) {
        if (mOver.compareAndSet(false, true)) {
            lastCallback.run();
        }
    }

    private void keepErrorBody(byte[] bytes) {
        if (mErrorBody.size() + bytes.length <= MAX_LINE_BYTES) {
            mErrorBody.write(bytes, 0, bytes.length);
        }
    }
}
