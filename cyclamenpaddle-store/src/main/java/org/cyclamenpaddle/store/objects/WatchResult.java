package org.cyclamenpaddle.store.objects;

import java.util.List;
import java.util.Optional;

/** Result of a watch. */
public sealed interface WatchResult {

    /**
     * The changes after the requested revision.
     *
     * @param revision the revision from which the next watch continues
     * @param events in order of their versions; empty if the wait ended without any
     */
    record Events(long revision, List<Event> events) implements WatchResult {
        public Events {
            events = List.copyOf(events);
        }
    }

    /** The requested revision has been compacted; list the objects again. */
    record Compacted() implements WatchResult {}

    /**
     * One write or deletion.
     *
     * @param key key of the object
     * @param version the revision of the write or deletion
     * @param value the new text; empty if it was deleted
     */
    record Event(String key, long version, Optional<String> value) {}
}
