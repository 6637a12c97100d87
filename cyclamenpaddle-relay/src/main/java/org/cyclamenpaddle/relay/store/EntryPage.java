package org.cyclamenpaddle.relay.store;

import java.util.List;

/**
 * Page of a listing, or the changes that a watch returned.
 *
 * @param entries the objects, in the order of the store
 * @param revision revision of the store that they represent
 * @param more whether the listing continues after the last entry
 * @param <T> type of the objects' content
 */
public record EntryPage<T>(List<StoreEntry<T>> entries, long revision, boolean more) {

    public EntryPage {
        entries = List.copyOf(entries);
        if (revision < 0) {
            throw new IllegalArgumentException("revision " + revision + " must not be negative");
        }
    }
}
