package org.cyclamenpaddle.engine.model;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** Listener that records the events of a stream as text, in order. */
final class StreamLog implements EngineStreamListener {

    private static final long TIMEOUT_SECONDS = 20;

    private final BlockingQueue<String> mEvents = new LinkedBlockingQueue<>();

    @Override
    public void onImported(long bytes) {
        mEvents.add("imported " + bytes);
    }

    @Override
    public void onToken(int index, String text) {
        mEvents.add("token " + index + " " + text);
    }

    @Override
    public void onEnd(int tokens, String finishReason) {
        mEvents.add("end " + tokens + " " + finishReason);
    }

    @Override
    public void onFailed(EngineFailure failure) {
        mEvents.add("failed " + failure);
    }

    @Override
    public void onBroken(EngineFailure failure) {
        mEvents.add("broken " + failure);
    }

    String next() throws InterruptedException {
        return String.valueOf(mEvents.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS));
    }

    /** Returns the next {@code count} events. */
    List<String> next(int count) throws InterruptedException {
        List<String> events = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            events.add(next());
        }
        return events;
    }

    /** Returns the received events that were not consumed. */
    List<String> rest() {
        return List.copyOf(mEvents);
    }
}
