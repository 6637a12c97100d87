package org.cyclamenpaddle.router.order;

import java.util.Iterator;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.cyclamenpaddle.core.id.BackendId;

/**
 * The shared slots that are held for one engine, all or none.
 *
 * <p>Calls come from one thread at a time. Its writes follow one another: a release that overtook a
 * later acquisition would give back a slot that is in use.
 */
final class SlotHolding {

    private final SlotStore mStore;
    private final BackendId mEngine;
    private final Set<String> mPaths = ConcurrentHashMap.newKeySet();
    private CompletableFuture<Boolean> mLast = CompletableFuture.completedFuture(true);
    private boolean mWanted;

    SlotHolding(SlotStore store, BackendId engine) {
        mStore = store;
        mEngine = engine;
    }

    /** One slot of a path with a limit. */
    record Slot(String path, int limit) {}

    /** Takes all slots; if one can't be had, those before it are given back. */
    CompletableFuture<Boolean> acquire(List<Slot> slots) {
        mWanted = true;
        mLast = mLast.thenCompose(done -> acquire(slots.iterator()));
        return mLast;
    }

    /** Gives back whatever is held; what can't be given back now is tried again by retry. */
    void release() {
        mWanted = false;
        mLast = mLast.thenCompose(done -> releaseAll());
    }

    /**
     * Gives back what is held or being acquired, until it is surely given back.
     *
     * <p>A slot that a living host keeps after it lost the engine would hold up changes of others
     * for as long as that host lives.
     */
    void giveUp() {
        if (mWanted) {
            release();
        } else {
            retry();
        }
    }

    /** Tries again to give back what a lost answer may have left behind. */
    void retry() {
        if (!mWanted && !mPaths.isEmpty() && mLast.isDone()) {
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
                        had -> had ? acquire(slots) : CompletableFuture.completedFuture(false));
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
