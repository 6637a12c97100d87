package org.cyclamenpaddle.standins.platform;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;

/**
 * Versioned object store with one store-wide revision and a bounded event history.
 *
 * <p>Thread-safe. Watches are completed without holding the lock.
 */
final class ObjectStore {

    private final int mHistoryLimit;
    private final TreeMap<String, StoredObject> mObjects = new TreeMap<>();
    private final Deque<WatchEvent> mHistory = new ArrayDeque<>();
    private final List<Watch> mWatches = new ArrayList<>();
    private long mRevision;
    private long mCompacted;

    ObjectStore(int historyLimit) {
        mHistoryLimit = historyLimit;
    }

    /** A stored object. */
    record StoredObject(String key, long version, String value) {}

    /** A change of an object; {@code value} is empty for a deletion. */
    record WatchEvent(String key, long version, boolean deleted, String value) {}

    /** All objects whose keys start with a prefix, at one revision. */
    record Listing(long revision, List<StoredObject> objects) {}

    /** Events of a watch and the revision from which to watch next. */
    record WatchResponse(long revision, List<WatchEvent> events) {}

    /** Result of a conditional write: the new version, or the object that conflicts with it. */
    record WriteResult(boolean done, long version, Optional<StoredObject> found) {}

    private record Watch(String prefix, long after, CompletableFuture<WatchResponse> answer) {}

    synchronized Optional<StoredObject> read(String key) {
        return Optional.ofNullable(mObjects.get(key));
    }

    synchronized Listing list(String prefix) {
        List<StoredObject> found =
                mObjects.tailMap(prefix).values().stream()
                        .takeWhile(object -> object.key().startsWith(prefix))
                        .collect(Collectors.toList());
        return new Listing(mRevision, found);
    }

    /** Writes an object if its current version is {@code expected}; 0 if it must not exist. */
    WriteResult put(String key, String value, long expected) {
        return write(key, Optional.of(value), expected);
    }

    /** Deletes an object if its current version is {@code expected}. */
    WriteResult delete(String key, long expected) {
        return write(key, Optional.empty(), expected);
    }

    /** Watches for events after a revision; empty if the revision was compacted. */
    synchronized Optional<CompletableFuture<WatchResponse>> watch(String prefix, long after) {
        if (after < mCompacted) {
            return Optional.empty();
        }
        WatchResponse ready = eventsAfter(prefix, after);
        if (!ready.events().isEmpty()) {
            return Optional.of(CompletableFuture.completedFuture(ready));
        }
        Watch watch = new Watch(prefix, after, new CompletableFuture<>());
        mWatches.add(watch);
        return Optional.of(watch.answer());
    }

    /** Completes a pending watch without events. */
    void endWatch(CompletableFuture<WatchResponse> pending) {
        long revision;
        synchronized (this) {
            mWatches.removeIf(watch -> watch.answer() == pending);
            revision = mRevision;
        }
        pending.complete(new WatchResponse(revision, List.of()));
    }

    /** Discards the event history, so that watches from older revisions must list again. */
    synchronized void compact() {
        mHistory.clear();
        mCompacted = mRevision;
    }

    synchronized long revision() {
        return mRevision;
    }

    private WriteResult write(String key, Optional<String> value, long expected) {
        Map<CompletableFuture<WatchResponse>, WatchResponse> due;
        long version;
        synchronized (this) {
            StoredObject found = mObjects.get(key);
            long current = found == null ? 0 : found.version();
            if (current != expected || (value.isEmpty() && found == null)) {
                return new WriteResult(false, 0, Optional.ofNullable(found));
            }
            version = ++mRevision;
            store(key, version, value);
            due = removeMatchingWatches(key);
        }
        due.forEach(CompletableFuture::complete);
        return new WriteResult(true, version, Optional.empty());
    }

    private void store(String key, long version, Optional<String> value) {
        value.ifPresentOrElse(
                text -> mObjects.put(key, new StoredObject(key, version, text)),
                () -> mObjects.remove(key));
        mHistory.addLast(new WatchEvent(key, version, value.isEmpty(), value.orElse("")));
        while (mHistory.size() > mHistoryLimit) {
            mCompacted = mHistory.removeFirst().version();
        }
    }

    private Map<CompletableFuture<WatchResponse>, WatchResponse> removeMatchingWatches(String key) {
        List<Watch> due =
                mWatches.stream()
                        .filter(watch -> key.startsWith(watch.prefix()))
                        .collect(Collectors.toList());
        mWatches.removeAll(due);
        return due.stream()
                .collect(
                        Collectors.toMap(
                                Watch::answer,
                                watch -> eventsAfter(watch.prefix(), watch.after())));
    }

    private WatchResponse eventsAfter(String prefix, long after) {
        List<WatchEvent> events =
                mHistory.stream()
                        .filter(e -> e.version() > after && e.key().startsWith(prefix))
                        .collect(Collectors.toList());
        return new WatchResponse(mRevision, events);
    }
}
