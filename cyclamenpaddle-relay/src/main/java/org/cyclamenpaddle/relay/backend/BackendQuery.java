package org.cyclamenpaddle.relay.backend;

import java.util.Set;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.id.ServiceName;
import org.cyclamenpaddle.routing.stream.StreamBinding;

/**
 * What a request needs of a backend server.
 *
 * @param service service of the request
 * @param size size of its work
 * @param avoid servers that have already been tried or cannot take it for another reason
 * @param binding software versions at which it may run
 */
public record BackendQuery(
        ServiceName service, WorkSize size, Set<BackendId> avoid, StreamBinding binding) {

    /** Returns the query of a request that any server of its service may run. */
    public static BackendQuery of(ServiceName service, WorkSize size) {
        return new BackendQuery(service, size, Set.of(), StreamBinding.ANY);
    }

    /** Returns this query with other servers to avoid. */
    public BackendQuery avoiding(Set<BackendId> servers) {
        return new BackendQuery(service, size, servers, binding);
    }

    /** Returns whether a server of the service may run the request, apart from its state. */
    boolean matches(Backend backend) {
        return !avoid.contains(backend.id()) && binding.permits(backend.version());
    }
}
