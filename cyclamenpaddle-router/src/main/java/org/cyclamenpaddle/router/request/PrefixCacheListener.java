package org.cyclamenpaddle.router.request;

import java.util.List;
import org.cyclamenpaddle.core.id.BackendId;

/** Learns that an engine has just computed, and so cached, the blocks of a prompt. */
@FunctionalInterface
public interface PrefixCacheListener {

    /** Takes the chained hashes of the prompt's whole blocks. */
    void onPrefilled(BackendId backend, List<Long> blockHashes);
}
