package org.cyclamenpaddle.store.objects;

import java.util.List;

/**
 * All objects under a prefix at one revision.
 *
 * @param revision the revision of the store, from which a watch can continue without a gap
 * @param objects the objects
 */
public record Listing(long revision, List<StoredObject> objects) {
    public Listing {
        if (revision < 0) {
            throw new IllegalArgumentException("revision " + revision + " must not be negative");
        }
        objects = objects == null ? List.of() : List.copyOf(objects);
    }
}
