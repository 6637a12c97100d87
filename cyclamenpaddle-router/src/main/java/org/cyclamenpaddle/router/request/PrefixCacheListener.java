package org.cyclamenpaddle.router.request;

import java.util.List;
import org.cyclamenpaddle.core.id.BackendId;

/** Receives notice that an engine has computed, and so cached, the KV blocks of a prompt. */
@FunctionalInterface
public interface PrefixCacheListener {

    /** Called with the chained hashes of the prompt's complete blocks. */
    void onPrefilled(BackendId backend, List<Long> blockHashes);
}
