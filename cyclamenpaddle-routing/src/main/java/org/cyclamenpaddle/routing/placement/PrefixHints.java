package org.cyclamenpaddle.routing.placement;

import java.util.List;
import org.cyclamenpaddle.core.id.BackendId;

/** What is believed of the prompt prefixes that engines have cached; a hint, never a promise. */
@FunctionalInterface
public interface PrefixHints {

    /** Hints of a router that knows of no cached prefix. */
    PrefixHints NONE = (backend, blockHashes) -> 0;

    /**
     * Returns the tokens of a prompt's prefix that an engine is believed to have cached.
     *
     * @param backend the engine
     * @param blockHashes chained hashes of the prompt's whole blocks
     */
    int cachedTokens(BackendId backend, List<Long> blockHashes);
}
