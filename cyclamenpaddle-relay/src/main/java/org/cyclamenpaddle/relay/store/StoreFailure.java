package org.cyclamenpaddle.relay.store;

/** Reason for which a store call returned no result. */
public enum StoreFailure {
    /** The changes since the given revision are no longer available; a listing is required. */
    HISTORY_GONE,
    /** The store responded, but rejected the call. */
    TURNED_AWAY,
    /** No response arrived, or an unreadable one. */
    NO_ANSWER
}
