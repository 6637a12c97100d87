package org.cyclamenpaddle.relay.store;

import java.util.List;

/**
 * A part of a listing, or the changes that a watch brought.
 *
 * @param entries the objects, in the store's order
 * @param revision revision of the store that they show
 * @param more whether the listing goes on after the last entry
 * @param <T> type of what the objects say
 */
public record EntryPage<T>(List<Entry<T>> entries, long revision, boolean more) {

    public EntryPage {
        entries = List.copyOf(entries);
        if (revision < 0) {
            throw new IllegalArgumentException("revision " + revision + " must not be negative");
        }
    }
}
