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
import org.cyclamenpaddle.engine.http.ResponseEnd;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;

/** Reads one decode stream and passes its events to a listener. */
final class DecodeStream implements Subscriber<HttpObject>, StreamHandle {

    private static final int MAX_LINE_BYTES = 64 << 10;

    private final EngineJson mJson;
    private final EngineStreamListener mListener;
    private final ClientRequestContext mContext;
    private final HttpResponse mResponse;
    private final LineSplitter mLines = new LineSplitter(MAX_LINE_BYTES);
    private final ByteArrayOutputStream mErrorBody = new ByteArrayOutputStream();
    private final AtomicBoolean mFinished = new AtomicBoolean();
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
        if (mFinished.compareAndSet(false, true)) {
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
        if (mFinished.get()) {
            return;
        }
        if (object instanceof ResponseHeaders headers) {
            mStatus = headers.status().code();
        } else if (object instanceof HttpData data) {
            onBody(data.array());
        } else if (!(object instanceof HttpHeaders)) {
            throw new IllegalStateException("unexpected part of a response: " + object);
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
            // An engine that crashes may close its connection cleanly within a stream, and the
            // caller would take a truncated response for a complete one. Only the engine's end
            // event completes a response, so a body that ends without it is a broken stream.
            ResponseEnd end =
                    mLines.partial() ? ResponseEnd.INSIDE_EVENT : ResponseEnd.NO_END_EVENT;
            finish(() -> mListener.onBroken(new EngineFailure.Truncated(end)));
        } else {
            EngineFailure failure = mJson.failure(mStatus, mErrorBody.toString(UTF_8));
            finish(() -> onErrorResponse(failure));
        }
    }

    // A response that is not part of the protocol, such as a 500, does not state what the engine
    // holds, so the attempt is treated as one that may still be running.
    private void onErrorResponse(EngineFailure failure) {
        if (failure instanceof EngineFailure.Protocol) {
            mListener.onBroken(failure);
        } else {
            mListener.onFailed(failure);
        }
    }

    private void onBody(byte[] bytes) {
        if (mStatus != HttpStatus.OK.code()) {
            appendErrorBody(bytes);
            return;
        }
        for (String line : mLines.feed(bytes)) {
            if (mFinished.get()) {
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
        if (mFinished.compareAndSet(false, true)) {
            lastCallback.run();
        }
    }

    private void appendErrorBody(byte[] bytes) {
        if (mErrorBody.size() + bytes.length <= MAX_LINE_BYTES) {
            mErrorBody.write(bytes, 0, bytes.length);
        }
    }
}
