package org.cyclamenpaddle.standins.engine;

import com.linecorp.armeria.common.HttpData;
import java.util.concurrent.BlockingQueue;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;

/** Collects the chunks of a response body and the signal that ends it. */
final class LineReader implements Subscriber<HttpData> {

    private final BlockingQueue<String> mLines;

    LineReader(BlockingQueue<String> lines) {
        mLines = lines;
    }

    @Override
    public void onSubscribe(Subscription subscription) {
        subscription.request(Long.MAX_VALUE);
    }

    @Override
    public void onNext(HttpData data) {
        mLines.add(data.toStringUtf8());
    }

    @Override
    public void onError(Throwable failure) {
        mLines.add("failure");
    }

    @Override
    public void onComplete() {
        mLines.add("complete");
    }
}
