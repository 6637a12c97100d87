package org.cyclamenpaddle.routing.placement;

import static org.cyclamenpaddle.routing.Fixtures.id;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.stream.LongStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.text.PromptText;
import org.cyclamenpaddle.routing.Fixtures;
import org.testng.annotations.Test;

public class PrefixIndexTest {

    private static final BackendId ENGINE = id(1);
    private static final int BLOCK = PromptText.TOKENS_PER_BLOCK;
    private static final List<Long> PROMPT = List.of(10L, 11L, 12L);

    private static CacheEvent stored(long sequence, long hash) {
        return new CacheEvent(sequence, CacheEvent.Kind.STORED, hash);
    }

    private static CacheEvent evicted(long sequence, long hash) {
        return new CacheEvent(sequence, CacheEvent.Kind.EVICTED, hash);
    }

    private static PrefixIndex withTwoBlocks() {
        PrefixIndex index = new PrefixIndex(8);
        index.apply(ENGINE, List.of(stored(1, 10), stored(2, 11)), 2);
        return index;
    }

    @Test
    public void countsLeadingBlocksOnly() {
        PrefixIndex index = withTwoBlocks();
        assertEquals(index.cachedTokens(ENGINE, PROMPT), 2 * BLOCK);
        assertEquals(index.cachedTokens(ENGINE, List.of(12L, 10L)), 0);
        assertEquals(index.cachedTokens(id(2), PROMPT), 0);

        index.apply(ENGINE, List.of(evicted(3, 10)), 3);
        assertEquals(index.cachedTokens(ENGINE, PROMPT), 0);
    }

    /**
     * Events are lost, possibly an eviction among them. If the older blocks still counted in full,
     * prompts would go to an engine that has to compute them again, and first tokens would be later
     * than predicted.
     */
    @Test
    public void gapHalvesWeightOfOlderBlocks() {
        PrefixIndex index = withTwoBlocks();
        index.apply(ENGINE, List.of(stored(5, 12)), 5);
        assertEquals(index.cachedTokens(ENGINE, PROMPT), 2 * BLOCK);

        index.prefilled(ENGINE, PROMPT);
        assertEquals(index.cachedTokens(ENGINE, PROMPT), 3 * BLOCK);
        index.apply(ENGINE, List.of(), 6);
        assertEquals(index.cachedTokens(ENGINE, PROMPT), 3 * BLOCK / 2);
    }

    @Test
    public void duplicateEventsAreIgnored() {
        PrefixIndex index = withTwoBlocks();
        index.apply(ENGINE, List.of(evicted(1, 10), stored(2, 11)), 2);
        assertEquals(index.cachedTokens(ENGINE, PROMPT), 2 * BLOCK);
    }

    @Test
    public void restartedEngineHasNothingCached() {
        PrefixIndex index = withTwoBlocks();
        index.apply(ENGINE, List.of(stored(1, 12)), 1);
        assertEquals(index.cachedTokens(ENGINE, PROMPT), 0);
        assertEquals(index.cachedTokens(ENGINE, List.of(12L)), BLOCK);
    }

    @Test
    public void memoryIsBoundedAndRecentlyUsedBlocksAreRetained() {
        PrefixIndex index = new PrefixIndex(100);
        UniformRandomProvider random = Fixtures.random(3);
        index.prefilled(ENGINE, PROMPT);
        for (int i = 0; i < 10_000; i++) {
            long first = 1_000 + random.nextInt(1_000_000);
            index.prefilled(ENGINE, LongStream.range(first, first + 4).boxed().toList());
            assertEquals(index.cachedTokens(ENGINE, PROMPT), 3 * BLOCK);
            assertTrue(index.size() <= 100);
        }
        assertEquals(index.size(), 100);
    }
}
