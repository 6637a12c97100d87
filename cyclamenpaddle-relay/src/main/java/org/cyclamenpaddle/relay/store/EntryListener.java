package org.cyclamenpaddle.relay.store;

import java.util.List;

/**
 * Told what a {@link Follower} learns.
 *
 * @param <T> type of what the objects say
 */
public interface EntryListener<T> {

    /** Takes in a whole listing. */
    void onListing(List<Entry<T>> entries);

    /** Takes in one changed object. */
    void onChange(Entry<T> entry);

    /** Called when calls begin to fail. */
    void onStoreUnavailable(StoreFailure failure);

    /** Called when calls succeed again, before what they brought. */
    void onStoreAvailable(long awayMillis);
}
