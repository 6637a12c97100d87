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
 * Objects with one store-wide revision and a bounded history of events.
 *
 * <p>Thread-safe. Watches complete outside of the lock.
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

    /** One object as stored. */
    record StoredObject(String key, long version, String value) {}

    /** One change; {@code value} is empty if it was a deletion. */
    record WatchEvent(String key, long version, boolean deleted, String value) {}

    /** All objects below a prefix at one revision. */
    record Listing(long revision, List<StoredObject> objects) {}

    /** Events of one watch and the revision to watch from next. */
    record WatchAnswer(long revision, List<WatchEvent> events) {}

    /** Result of a conditional write: a new version, or the object that stood against it. */
    record WriteResult(boolean done, long version, Optional<StoredObject> found) {}

    private record Watch(String prefix, long after, CompletableFuture<WatchAnswer> answer) {}

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

    /** Writes if the object's version is {@code expected}; 0 expects none. */
    WriteResult put(String key, String value, long expected) {
        return write(key, Optional.of(value), expected);
    }

    /** Deletes if the object's version is {@code expected}. */
    WriteResult delete(String key, long expected) {
        return write(key, Optional.empty(), expected);
    }

    /** Returns the events after a revision, when there are any; empty if it was compacted. */
    synchronized Optional<CompletableFuture<WatchAnswer>> watch(String prefix, long after) {
        if (after < mCompacted) {
            return Optional.empty();
        }
        WatchAnswer ready = eventsAfter(prefix, after);
        if (!ready.events().isEmpty()) {
            return Optional.of(CompletableFuture.completedFuture(ready));
        }
        Watch watch = new Watch(prefix, after, new CompletableFuture<>());
        mWatches.add(watch);
        return Optional.of(watch.answer());
    }

    /** Ends a waiting watch without events. */
    void endWatch(CompletableFuture<WatchAnswer> answer) {
        long revision;
        synchronized (this) {
            mWatches.removeIf(watch -> watch.answer() == answer);
            revision = mRevision;
        }
        answer.complete(new WatchAnswer(revision, List.of()));
    }

    /** Drops the whole event history, so that older watches are told to list again. */
    synchronized void compact() {
        mHistory.clear();
        mCompacted = mRevision;
    }

    synchronized long revision() {
        return mRevision;
    }

    private WriteResult write(String key, Optional<String> value, long expected) {
        Map<CompletableFuture<WatchAnswer>, WatchAnswer> due;
        long version;
        synchronized (this) {
            StoredObject found = mObjects.get(key);
            long current = found == null ? 0 : found.version();
            if (current != expected || (value.isEmpty() && found == null)) {
                return new WriteResult(false, 0, Optional.ofNullable(found));
            }
            version = ++mRevision;
            store(key, version, value);
            due = dueWatches(key);
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

    private Map<CompletableFuture<WatchAnswer>, WatchAnswer> dueWatches(String key) {
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

    private WatchAnswer eventsAfter(String prefix, long after) {
        List<WatchEvent> events =
                mHistory.stream()
                        .filter(e -> e.version() > after && e.key().startsWith(prefix))
                        .collect(Collectors.toList());
        return new WatchAnswer(mRevision, events);
    }
}
