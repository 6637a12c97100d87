package org.cyclamenpaddle.peer.net;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import org.cyclamenpaddle.peer.codec.FrameCodec;

/** Bounded queue of the encoded frames to one host. Thread-safe; holds its lock only briefly. */
final class OutgoingQueue {

    /** Fits two frames of maximum length, or for many of the usual ones. */
    private static final int MAX_BYTES = 2 * FrameCodec.MAX_FRAME_BYTES;

    private final int mMaxFrames;
    private final Deque<Entry> mEntries = new ArrayDeque<>();
    private int mBytes;

    /**
     * A queued frame.
     *
     * @param correlation its correlation number
     * @param heartbeat whether it is a heartbeat, which is dropped first when the queue is full
     * @param queuedMillis when it was queued, in milliseconds of the network's clock
     * @param bytes the encoded frame
     */
    record Entry(long correlation, boolean heartbeat, long queuedMillis, byte[] bytes) {}

    OutgoingQueue(int maxFrames) {
        mMaxFrames = maxFrames;
    }

    /**
     * Adds a frame. While the queue is full, drops the oldest heartbeat, or the new frame if no
     * heartbeat is queued.
     *
     * <p>A heartbeat supersedes the earlier ones, while no other message can be replaced by a later
     * one.
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

    /** Removes the entries that were queued before {@code millis} and returns their number. */
    synchronized int removeBefore(long millis) {
        int removed = 0;
        while (!mEntries.isEmpty() && mEntries.peekFirst().queuedMillis() < millis) {
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
