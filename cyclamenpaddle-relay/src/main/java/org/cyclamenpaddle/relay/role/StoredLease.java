package org.cyclamenpaddle.relay.role;

/**
 * A lease as it lies in the store.
 *
 * @param record what it says
 * @param revision the store's revision of it, for conditional writes
 */
public record StoredLease(LeaseRecord record, long revision) {}
