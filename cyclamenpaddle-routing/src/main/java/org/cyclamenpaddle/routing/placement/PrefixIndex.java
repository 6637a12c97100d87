package org.cyclamenpaddle.routing.placement;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.text.PromptText;

/**
 * Tracks the contents of the engines' prefix caches from cache events that are late and may be
 * lost.
 *
 * <p>Memory is bounded per engine; the least recently used block is evicted first. After a gap an
 * eviction may have been missed, so every block known before counts only in part until another
 * event confirms it. Not thread-safe.
 */
public final class PrefixIndex implements PrefixHints {

    private static final double STALE_BLOCK_WEIGHT = 0.5;

    private static final class Cache {

        private final Map<Long, Integer> mEpochByBlock = new LinkedHashMap<>(16, 0.75f, true);
        private long mLastSequence;
        private int mEpoch;
    }

    private final int mMaxBlocks;
    private final Map<BackendId, Cache> mCaches = new HashMap<>();

    /**
     * Creates an empty index.
     *
     * @param maxBlocks maximum number of blocks per engine
     */
    public PrefixIndex(int maxBlocks) {
        if (maxBlocks < 1) {
            throw new IllegalArgumentException("blocks " + maxBlocks + " must be above 0");
        }
        mMaxBlocks = maxBlocks;
    }

    /**
     * Applies the events of one poll of an engine.
     *
     * @param backend the engine
     * @param events events since the last poll, by increasing sequence, possibly with gaps
     * @param lastSequence the engine's last sequence; lower than before if the engine was restarted
     */
    public void apply(BackendId backend, List<CacheEvent> events, long lastSequence) {
        if (mCaches.containsKey(backend) && lastSequence < mCaches.get(backend).mLastSequence) {
            mCaches.remove(backend);
        }
        Cache cache = mCaches.computeIfAbsent(backend, any -> new Cache());
        for (CacheEvent event : events) {
            if (event.sequence() > cache.mLastSequence) {
                advanceTo(cache, event.sequence() - 1);
                applyEvent(cache, event);
                cache.mLastSequence = event.sequence();
            }
        }
        advanceTo(cache, lastSequence);
    }

    /**
     * Records that a completed prefill has cached the blocks of its prompt.
     *
     * @param backend the engine
     * @param blockHashes chained hashes of the prompt's full blocks
     */
    public void prefilled(BackendId backend, List<Long> blockHashes) {
        Cache cache = mCaches.computeIfAbsent(backend, any -> new Cache());
        blockHashes.forEach(hash -> store(cache, hash));
    }

    /** Removes an engine, for example one that was restarted or has another model. */
    public void remove(BackendId backend) {
        mCaches.remove(backend);
    }

    @Override
    public int cachedTokens(BackendId backend, List<Long> blockHashes) {
        Cache cache = mCaches.get(backend);
        if (cache == null) {
            return 0;
        }
        double blocks = 0;
        for (Long hash : blockHashes) {
            Integer epoch = cache.mEpochByBlock.get(hash);
            if (epoch == null) {
                break;
            }
            blocks += epoch == cache.mEpoch ? 1 : STALE_BLOCK_WEIGHT;
        }
        return (int) (blocks * PromptText.TOKENS_PER_BLOCK);
    }

    /** Returns the number of blocks over all engines. */
    public int size() {
        return mCaches.values().stream().mapToInt(cache -> cache.mEpochByBlock.size()).sum();
    }

    private static void advanceTo(Cache cache, long sequence) {
        if (sequence > cache.mLastSequence) {
            cache.mEpoch++;
            cache.mLastSequence = sequence;
        }
    }

    private void applyEvent(Cache cache, CacheEvent event) {
        if (event.kind() == CacheEvent.Kind.EVICTED) {
            cache.mEpochByBlock.remove(event.blockHash());
        } else {
            store(cache, event.blockHash());
        }
    }

    private void store(Cache cache, long hash) {
        cache.mEpochByBlock.put(hash, cache.mEpoch);
        if (cache.mEpochByBlock.size() > mMaxBlocks) {
            Iterator<Long> oldest = cache.mEpochByBlock.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
    }
}
