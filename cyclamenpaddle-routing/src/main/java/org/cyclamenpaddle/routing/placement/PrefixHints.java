package org.cyclamenpaddle.routing.placement;

import java.util.List;
import org.cyclamenpaddle.core.id.BackendId;

/** Estimates which prompt prefixes engines have cached; an estimate may be wrong. */
@FunctionalInterface
public interface PrefixHints {

    /** Hints that report no cached prefix. */
    PrefixHints NONE = (backend, blockHashes) -> 0;

    /**
     * Returns the tokens of a prompt's prefix that an engine is expected to have cached.
     *
     * @param backend the engine
     * @param blockHashes chained hashes of the prompt's full blocks
     */
    int cachedTokens(BackendId backend, List<Long> blockHashes);
}
