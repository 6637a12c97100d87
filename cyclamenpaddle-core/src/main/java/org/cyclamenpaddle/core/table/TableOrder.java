package org.cyclamenpaddle.core.table;

/**
 * The blackboard's tables in the one order in which their locks are taken.
 *
 * <p>A thread that holds a table's lock may take only locks of tables further down. Without one
 * order two controllers could each wait for the other's table for ever.
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
    DEMAND,
    CALLERS
}
