package org.cyclamenpaddle.routing.placement;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.text.PromptText;

/**
 * What engines are believed to have in their prefix caches, from events that come late and with
 * gaps.
 *
 * <p>Memory is bounded for each engine; the block used longest ago goes first. After a gap an
 * eviction may have been missed, so every block known before counts only for a part until it is
 * heard of again. Not thread-safe.
 */
public final class PrefixIndex implements PrefixHints {

    private static final double DOUBTFUL_SHARE = 0.5;

    private static final class Cache {

        private final Map<Long, Integer> mEpochByBlock = new LinkedHashMap<>(16, 0.75f, true);
        private long mLastSequence;
        private int mEpoch;
    }

    private final int mMostBlocks;
    private final Map<BackendId, Cache> mCaches = new HashMap<>();

    /**
     * Creates an empty index.
     *
     * @param mostBlocks blocks that are remembered for each engine
     */
    public PrefixIndex(int mostBlocks) {
        if (mostBlocks < 1) {
            throw new IllegalArgumentException("blocks " + mostBlocks + " must be above 0");
        }
        mMostBlocks = mostBlocks;
    }

    /**
     * Takes in one poll of an engine's events.
     *
     * @param backend the engine
     * @param events events since the last poll, by rising sequence, maybe with gaps
     * @param lastSequence the engine's last sequence; lower than before if it was started anew
     */
    public void apply(BackendId backend, List<CacheEvent> events, long lastSequence) {
        if (mCaches.containsKey(backend) && lastSequence < mCaches.get(backend).mLastSequence) {
            mCaches.remove(backend);
        }
        Cache cache = mCaches.computeIfAbsent(backend, any -> new Cache());
        for (CacheEvent event : events) {
            if (event.sequence() > cache.mLastSequence) {
                passTo(cache, event.sequence() - 1);
                take(cache, event);
                cache.mLastSequence = event.sequence();
            }
        }
        passTo(cache, lastSequence);
    }

    /**
     * Takes in what a finished prefill showed: that the blocks of its prompt are cached now.
     *
     * @param backend the engine
     * @param blockHashes chained hashes of the prompt's whole blocks
     */
    public void prefilled(BackendId backend, List<Long> blockHashes) {
        Cache cache = mCaches.computeIfAbsent(backend, any -> new Cache());
        blockHashes.forEach(hash -> store(cache, hash));
    }

    /** Forgets an engine, such as one that was restarted or has another model. */
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
            blocks += epoch == cache.mEpoch ? 1 : DOUBTFUL_SHARE;
        }
        return (int) (blocks * PromptText.TOKENS_PER_BLOCK);
    }

    /** Returns the blocks remembered over all engines. */
    public int size() {
        return mCaches.values().stream().mapToInt(cache -> cache.mEpochByBlock.size()).sum();
    }

    private static void passTo(Cache cache, long sequence) {
        if (sequence > cache.mLastSequence) {
            cache.mEpoch++;
            cache.mLastSequence = sequence;
        }
    }

    private void take(Cache cache, CacheEvent event) {
        if (event.kind() == CacheEvent.Kind.EVICTED) {
            cache.mEpochByBlock.remove(event.blockHash());
        } else {
            store(cache, event.blockHash());
        }
    }

    private void store(Cache cache, long hash) {
        cache.mEpochByBlock.put(hash, cache.mEpoch);
        if (cache.mEpochByBlock.size() > mMostBlocks) {
            Iterator<Long> oldest = cache.mEpochByBlock.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
    }
}
