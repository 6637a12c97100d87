package org.cyclamenpaddle.peer.net;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import org.cyclamenpaddle.peer.codec.FrameCodec;

/** Bounded queue of encoded frames to one host; thread-safe, never blocks for long. */
final class OutgoingQueue {

    /** Two frames of the longest kind, and far more of the usual ones. */
    private static final int MAX_BYTES = 2 * FrameCodec.MAX_FRAME_BYTES;

    private final int mMaxFrames;
    private final Deque<Entry> mEntries = new ArrayDeque<>();
    private int mBytes;

    /**
     * One frame.
     *
     * @param correlation its correlation number
     * @param heartbeat whether it is the first to go when the queue is full
     * @param sinceMillis when it was queued, on the network's clock
     * @param bytes the encoded frame
     */
    record Entry(long correlation, boolean heartbeat, long sinceMillis, byte[] bytes) {}

    OutgoingQueue(int maxFrames) {
        mMaxFrames = maxFrames;
    }

    /**
     * Adds a frame; while the queue is full, the oldest heartbeats go, or else the new frame.
     *
     * <p>A later heartbeat says all that an older one does, while each other message says something
     * of its own.
     *
     * @return the entries that were dropped
     */
    synchronized List<Entry> offer(Entry entry) {
        List<Entry> dropped = new ArrayList<>();
        while (!fits(entry)) {
            Optional<Entry> heartbeat = removeOldestHeartbeat();
            dropped.add(heartbeat.orElse(entry));
            if (heartbeat.isEmpty()) {
                return dropped;
            }
        }
        add(entry);
        return dropped;
    }

    synchronized Optional<Entry> poll() {
        Optional<Entry> first = Optional.ofNullable(mEntries.pollFirst());
        first.ifPresent(entry -> mBytes -= entry.bytes().length);
        return first;
    }

    /** Removes the entries queued before a moment and returns how many there were. */
    synchronized int removeBefore(long millis) {
        int removed = 0;
        while (!mEntries.isEmpty() && mEntries.peekFirst().sinceMillis() < millis) {
            poll();
            removed++;
        }
        return removed;
    }

    synchronized boolean isEmpty() {
        return mEntries.isEmpty();
    }

    private boolean fits(Entry entry) {
        return mEntries.size() < mMaxFrames && mBytes + entry.bytes().length <= MAX_BYTES;
    }

    private void add(Entry entry) {
        mEntries.addLast(entry);
        mBytes += entry.bytes().length;
    }

    private Optional<Entry> removeOldestHeartbeat() {
        for (Iterator<Entry> entries = mEntries.iterator(); entries.hasNext(); ) {
            Entry entry = entries.next();
            if (entry.heartbeat()) {
                entries.remove();
                mBytes -= entry.bytes().length;
                return Optional.of(entry);
            }
        }
        return Optional.empty();
    }
}
