package org.cyclamenpaddle.relay.store;

import java.util.List;

/**
 * Told what a {@link Follower} learns.
 *
 * @param <T> type of what the objects say
 */
public interface EntryListener<T> {

    /** Takes in a whole listing. */
    void listed(List<Entry<T>> entries);

    /** Takes in one changed object. */
    void changed(Entry<T> entry);

    /** Called when calls begin to fail. */
    void contactLost(StoreFailure failure);

    /** Called when calls succeed again, before what they brought. */
    void contactRegained(long awayMillis);
}
