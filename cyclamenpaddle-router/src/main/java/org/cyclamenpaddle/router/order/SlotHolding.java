package org.cyclamenpaddle.router.order;

import java.util.Iterator;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.cyclamenpaddle.core.id.BackendId;

/**
 * Holds the shared slots of one engine, all or none.
 *
 * <p>Methods must be called by one thread at a time. Writes are performed in order: a release that
 * overtook a later acquisition would free a slot that is in use.
 */
final class SlotHolding {

    private final SlotStore mStore;
    private final BackendId mEngine;
    private final Set<String> mPaths = ConcurrentHashMap.newKeySet();
    private CompletableFuture<Boolean> mLastWrite = CompletableFuture.completedFuture(true);
    private boolean mRequested;

    SlotHolding(SlotStore store, BackendId engine) {
        mStore = store;
        mEngine = engine;
    }

    /** A slot of the object at a path, which has a limit of holders. */
    record Slot(String path, int limit) {}

    /**
     * Acquires the slots in order and completes with false at the first one that is unavailable;
     * {@link #release} then frees those acquired before it.
     */
    CompletableFuture<Boolean> acquire(List<Slot> slots) {
        mRequested = true;
        mLastWrite = mLastWrite.thenCompose(done -> acquire(slots.iterator()));
        return mLastWrite;
    }

    /** Releases all held slots; slots that cannot be released now are retried by {@link #retry}. */
    void release() {
        mRequested = false;
        mLastWrite = mLastWrite.thenCompose(done -> releaseAll());
    }

    /**
     * Releases the slots held or being acquired, until the release is confirmed.
     *
     * <p>A slot that a live host retained after losing the engine would block the changes of other
     * hosts for as long as that host is alive.
     */
    void abandon() {
        if (mRequested) {
            release();
        } else {
            retry();
        }
    }

    /** Retries the release of slots that a lost response may have left held. */
    void retry() {
        if (!mRequested && !mPaths.isEmpty() && mLastWrite.isDone()) {
            release();
        }
    }

    private CompletableFuture<Boolean> acquire(Iterator<Slot> slots) {
        if (!slots.hasNext()) {
            return CompletableFuture.completedFuture(true);
        }
        Slot slot = slots.next();
        mPaths.add(slot.path());
        return mStore.acquire(slot.path(), mEngine, slot.limit())
                .thenCompose(
                        acquired ->
                                acquired
                                        ? acquire(slots)
                                        : CompletableFuture.completedFuture(false));
    }

    private CompletableFuture<Boolean> releaseAll() {
        CompletableFuture<?>[] all =
                mPaths.stream().map(this::release).toArray(CompletableFuture[]::new);
        return CompletableFuture.allOf(all).thenApply(done -> true);
    }

    private CompletableFuture<Void> release(String path) {
        return mStore.release(path, mEngine)
                .thenAccept(
                        released -> {
                            if (released) {
                                mPaths.remove(path);
                            }
                        });
    }
}
