package org.cyclamenpaddle.relay.backend;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cyclamenpaddle.core.id.ServiceName;
import org.cyclamenpaddle.core.id.SoftwareVersion;

/**
 * Counts the streams that wait for servers of one software version.
 *
 * <p>Not thread-safe.
 */
final class WaitingStreams {

    private record Place(ServiceName service, SoftwareVersion version) {}

    private final Map<Place, Integer> mWaiting = new HashMap<>();

    void add(BackendQuery query) {
        query.binding()
                .version()
                .ifPresent(version -> change(new Place(query.service(), version), 1));
    }

    void remove(BackendQuery query) {
        query.binding()
                .version()
                .ifPresent(version -> change(new Place(query.service(), version), -1));
    }

    private void change(Place place, int change) {
        mWaiting.merge(
                place, change, (before, added) -> before + added == 0 ? null : before + added);
    }

    /**
     * Returns the servers for a request: one that any version may run takes no server that a stream
     * waits for, if there is another one.
     */
    List<Backend> yielding(BackendQuery query, List<Backend> servers) {
        if (mWaiting.isEmpty() || query.binding().binds()) {
            return servers;
        }
        List<Backend> others =
                servers.stream()
                        .filter(
                                server ->
                                        !mWaiting.containsKey(
                                                new Place(query.service(), server.version())))
                        .toList();
        return others.isEmpty() ? servers : others;
    }
}
