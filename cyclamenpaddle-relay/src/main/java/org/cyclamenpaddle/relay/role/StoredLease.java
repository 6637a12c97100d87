package org.cyclamenpaddle.relay.role;

/**
 * Lease as stored.
 *
 * @param record content of the lease
 * @param revision its revision in the store, for conditional writes
 */
public record StoredLease(LeaseRecord record, long revision) {}
