package org.cyclamenpaddle.relay.front;

import java.util.HashSet;
import java.util.Set;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.relay.backend.Backend;

/**
 * Servers to which one request was sent, or its prompt.
 *
 * <p>All sends of a request bear one id. On a kept connection, a late copy of the response to an
 * earlier send would pass for the response to the current one. A request is therefore sent once at
 * most over the kept connections of a server.
 */
final class ReachedServers {

    private final Set<BackendId> mServers = new HashSet<>();

    /** Records a send, and returns whether it is the first one to the server. */
    boolean add(Backend server) {
        return mServers.add(server.id());
    }
}
