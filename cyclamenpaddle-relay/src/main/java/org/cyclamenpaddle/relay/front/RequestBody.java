package org.cyclamenpaddle.relay.front;

import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpObject;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.cyclamenpaddle.routing.buffer.RequestBytes;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;

/**
 * Reads the body of a request as far as the account of bytes admits it.
 *
 * <p>Safeguard: the HTTP library's own aggregation collects a body completely before it calls any
 * function on its parts, even one that was to examine each part. Forty bodies in chunks were read
 * whole before the account saw them, and exhausted the heap.
 */
final class RequestBody implements Subscriber<HttpObject> {

    private final RequestBytes mBytes;
    private final int mStatedBytes;
    private final CompletableFuture<HttpData> mResult = new CompletableFuture<>();
    private final List<byte[]> mParts = new ArrayList<>();
    private ByteBuffer mWhole = ByteBuffer.allocate(0);
    private Subscription mSubscription;
    private int mLength;

    /**
     * Creates an empty body.
     *
     * @param bytes bytes held for the request
     * @param statedBytes length that the request states; 0 if none
     */
    RequestBody(RequestBytes bytes, long statedBytes) {
        mBytes = bytes;
        mStatedBytes = Math.toIntExact(statedBytes);
    }

    /**
     * Returns the complete body; it fails with a {@link BodyRefusedException} if the body does not
     * fit.
     */
    CompletableFuture<HttpData> result() {
        return mResult;
    }

    @Override
    public void onSubscribe(Subscription subscription) {
        mSubscription = subscription;
        subscription.request(Long.MAX_VALUE);
    }

    @Override
    public void onNext(HttpObject object) {
        // Trailers are not forwarded.
        if (object instanceof HttpData part && !mResult.isDone()) {
            add(part);
        }
    }

    @Override
    public void onError(Throwable failure) {
        discard();
        mResult.completeExceptionally(failure);
    }

    @Override
    public void onComplete() {
        if (!mResult.isDone()) {
            mResult.complete(join());
        }
    }

    private void add(HttpData part) {
        if (!mBytes.tryAddBody(part.length())) {
            mSubscription.cancel();
            discard();
            mResult.completeExceptionally(new BodyRefusedException());
            return;
        }
        if (mLength == 0) {
            mWhole = ByteBuffer.allocate(mStatedBytes);
        }
        mLength += part.length();
        if (mParts.isEmpty() && part.length() <= mWhole.remaining()) {
            mWhole.put(part.array());
        } else {
            mParts.add(part.array());
        }
    }

    private HttpData join() {
        byte[] whole = mWhole.array();
        if (!mParts.isEmpty()) {
            ByteBuffer joined = ByteBuffer.allocate(mLength);
            joined.put(whole, 0, mWhole.position());
            mParts.forEach(joined::put);
            whole = joined.array();
        }
        HttpData body = HttpData.wrap(whole, 0, mLength);
        discard();
        return body;
    }

    private void discard() {
        mParts.clear();
        mWhole = ByteBuffer.allocate(0);
    }
}
