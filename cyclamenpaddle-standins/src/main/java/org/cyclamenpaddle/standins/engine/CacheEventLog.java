package org.cyclamenpaddle.standins.engine;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.stream.Collectors;

/** Log of prefix cache events, published with a delay and with gaps in the sequence numbers. */
final class CacheEventLog {

    private static final int MAX_ENTRIES = 8_192;

    private final EngineTimer mTimer;
    private final long mLagMicros;
    private final int mLossEvery;
    private final Deque<Entry> mEntries = new ArrayDeque<>();
    private long mSequence;

    CacheEventLog(EngineTimer timer, EngineSettings settings) {
        mTimer = timer;
        mLagMicros = EngineModel.micros(settings.cacheEventLagMillis());
        mLossEvery = settings.cacheEventLossEvery();
    }

    /** One published event; {@code kind} is {@code stored} or {@code evicted}. */
    record CacheEvent(long sequence, String kind, String hash) {}

    /** Published events and the last sequence number, which may be that of a lost event. */
    record CacheEvents(long lastSequence, List<CacheEvent> events) {}

    private record Entry(long fromMicros, CacheEvent event, boolean lost) {}

    void add(String kind, long hash) {
        long sequence = ++mSequence;
        boolean lost = mLossEvery > 0 && sequence % mLossEvery == 0;
        CacheEvent event = new CacheEvent(sequence, kind, Long.toHexString(hash));
        mEntries.addLast(new Entry(mTimer.micros() + mLagMicros, event, lost));
        if (mEntries.size() > MAX_ENTRIES) {
            mEntries.removeFirst();
        }
    }

    CacheEvents after(long sequence) {
        long now = mTimer.micros();
        List<Entry> published =
                mEntries.stream()
                        .takeWhile(entry -> entry.fromMicros() <= now)
                        .collect(Collectors.toList());
        long last =
                published.isEmpty() ? 0 : published.get(published.size() - 1).event().sequence();
        List<CacheEvent> events =
                published.stream()
                        .filter(entry -> !entry.lost() && entry.event().sequence() > sequence)
                        .map(Entry::event)
                        .collect(Collectors.toList());
        return new CacheEvents(last, events);
    }

    void clear() {
        mEntries.clear();
        mSequence = 0;
    }
}
