package org.cyclamenpaddle.relay.role;

/**
 * Lease as stored.
 *
 * @param record content of the lease
 * @param revision its revision in the store, for conditional writes
 */
public record StoredLease(LeaseRecord record, long revision) {

    private static final String UNREADABLE = "unreadable";

    /**
     * Returns a lease whose content cannot be read, which is taken over like one that is not
     * renewed. Its fencing token is the revision, which is higher than any token before: each
     * change of the holder is one of the store's revisions.
     */
    public static StoredLease unreadable(long revision) {
        return new StoredLease(new LeaseRecord(UNREADABLE, Math.max(1, revision), 0), revision);
    }
}
