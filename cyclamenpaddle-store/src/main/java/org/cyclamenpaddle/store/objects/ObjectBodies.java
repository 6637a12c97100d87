package org.cyclamenpaddle.store.objects;

import java.util.List;
import java.util.Optional;

/** JSON bodies of the object API; any member may be missing. */
final class ObjectBodies {

    private ObjectBodies() {}

    record PutBody(String value) {}

    record WrittenBody(long version) {}

    record ConflictBody(String reason, Long version, String value) {
        Optional<StoredObject> current(String key) {
            return version == null || value == null
                    ? Optional.empty()
                    : Optional.of(new StoredObject(key, version, value));
        }
    }

    record ReasonBody(String reason) {}

    record EventsBody(long revision, List<EventBody> events) {
        WatchResult result() {
            return new WatchResult.Events(revision, events.stream().map(EventBody::event).toList());
        }
    }

    record EventBody(String key, long version, boolean deleted, String value) {
        WatchResult.Event event() {
            return new WatchResult.Event(
                    key, version, deleted ? Optional.empty() : Optional.of(value));
        }
    }
}
