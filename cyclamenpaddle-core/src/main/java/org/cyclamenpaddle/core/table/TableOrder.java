package org.cyclamenpaddle.core.table;

/**
 * Global order in which the locks of the shared state tables are acquired.
 *
 * <p>A thread that holds a table's lock may acquire only locks of tables declared after it. Without
 * a global order two controllers could deadlock on each other's tables.
 */
public enum TableOrder {
    CONFIGURATION,
    HOSTS,
    BACKENDS,
    GRANTS,
    REQUESTS,
    CLAIMS,
    SUSPECTS,
    RETRIES,
    QUOTA_ACCOUNTS,
    QUOTA_SHARDS,
    PERMIT_OWNERS,
    PERMITS,
    DEMAND,
    CALLERS,
    REACHABILITY,
    HELPERS,
    STREAMS,
    STREAM_OWNERS,
    STORE_ANSWERS,
    CONNECTIONS
}
