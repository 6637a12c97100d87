package org.cyclamenpaddle.standins.engine;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cyclamenpaddle.core.config.BackendSpec;
import org.cyclamenpaddle.core.text.PromptText;

/** Prefix cache of chained block hashes that evicts the least recently used block first. */
final class PrefixCache {

    private static final int BLOCKS_PER_PIECE =
            BackendSpec.TOKENS_PER_PIECE / PromptText.TOKENS_PER_BLOCK;
    private static final int INITIAL_CAPACITY = 64;
    private static final float LOAD_FACTOR = 0.75f;

    private final int mBlockLimit;
    private final CacheEventLog mEvents;
    private final Map<Long, Boolean> mBlocks =
            new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true);

    PrefixCache(int pieces, CacheEventLog events) {
        mBlockLimit = pieces * BLOCKS_PER_PIECE;
        mEvents = events;
    }

    /** Returns the tokens of the longest cached prefix and marks its blocks as used. */
    int cachedTokens(List<Long> hashes) {
        int blocks = 0;
        while (blocks < hashes.size() && mBlocks.get(hashes.get(blocks)) != null) {
            blocks++;
        }
        return blocks * PromptText.TOKENS_PER_BLOCK;
    }

    void store(List<Long> hashes) {
        hashes.stream()
                .filter(hash -> mBlocks.put(hash, Boolean.TRUE) == null)
                .forEach(hash -> mEvents.add("stored", hash));
        Iterator<Long> oldest = mBlocks.keySet().iterator();
        while (mBlocks.size() > mBlockLimit) {
            mEvents.add("evicted", oldest.next());
            oldest.remove();
        }
    }

    void clear() {
        mBlocks.clear();
    }
}
