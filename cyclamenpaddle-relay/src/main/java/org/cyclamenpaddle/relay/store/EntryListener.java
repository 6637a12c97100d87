package org.cyclamenpaddle.relay.store;

import java.util.List;

/**
 * Receives the entries and changes that a {@link Follower} obtains.
 *
 * @param <T> type of the objects' content
 */
public interface EntryListener<T> {

    /** Called with a complete listing. */
    void onListing(List<StoreEntry<T>> entries);

    /** Called with one changed object. */
    void onChange(StoreEntry<T> entry);

    /**
     * Called when the store has answered a call, before the result is delivered.
     *
     * @param asOfMillis earliest time at which the store can have given the answer
     */
    default void onStoreAnswer(long asOfMillis) {}

    /**
     * Called when store calls begin to fail; a watch that was cut off while it waited is none.
     *
     * @param failure reason of the first failed call
     */
    void onStoreUnavailable(StoreFailure failure);

    /** Called when store calls succeed again, before their results are delivered. */
    void onStoreAvailable(long unavailableMillis);
}
