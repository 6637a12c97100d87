package org.cyclamenpaddle.relay.store;

import java.util.List;
import java.util.Optional;

/**
 * Page of a listing, or the changes that a watch returned.
 *
 * @param entries the objects, in the order of the store
 * @param revision revision of the store that they represent
 * @param more whether the listing continues after the last entry
 * @param <T> type of the objects' content
 */
public record EntryPage<T>(List<StoreEntry<T>> entries, long revision, boolean more) {

    /** Returns the name after which the listing continues; empty if no entry has one. */
    public Optional<String> lastName() {
        return entries.isEmpty()
                ? Optional.empty()
                : Optional.of(entries.get(entries.size() - 1).name());
    }

    public EntryPage {
        entries = List.copyOf(entries);
        if (revision < 0) {
            throw new IllegalArgumentException("revision " + revision + " must not be negative");
        }
    }
}
