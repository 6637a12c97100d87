package org.cyclamenpaddle.store.objects;

import java.util.List;
import java.util.Optional;

/** The platform's answer to a watch. */
public sealed interface WatchResult {

    /**
     * What happened after the asked revision.
     *
     * @param revision where the next watch goes on
     * @param events in order of their versions; empty if the wait ended without any
     */
    record Events(long revision, List<Event> events) implements WatchResult {
        public Events {
            events = List.copyOf(events);
        }
    }

    /** The asked revision is too old; list again. */
    record Compacted() implements WatchResult {}

    /**
     * One write or deletion.
     *
     * @param key which object
     * @param version the revision of the write or deletion
     * @param value the new text; empty if it was deleted
     */
    record Event(String key, long version, Optional<String> value) {}
}
