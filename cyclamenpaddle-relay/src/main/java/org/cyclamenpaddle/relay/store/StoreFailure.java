package org.cyclamenpaddle.relay.store;

/** Why a call to the store brought nothing. */
public enum StoreFailure {
    /** The changes since the given revision are no longer known: a listing is needed. */
    HISTORY_GONE,
    /** The store answers, but not to this call now. */
    TURNED_AWAY,
    /** No answer came, or none that could be read. */
    NO_ANSWER
}
