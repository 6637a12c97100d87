package org.cyclamenpaddle.relay.assembly;

import java.util.function.Function;
import org.cyclamenpaddle.engine.http.BackendConnections;
import org.cyclamenpaddle.relay.backend.Backend;
import org.cyclamenpaddle.relay.host.HostStore;
import org.cyclamenpaddle.relay.role.EngineOrderClient;
import org.cyclamenpaddle.relay.role.LeaseStore;
import org.cyclamenpaddle.relay.route.RelayConfiguration;
import org.cyclamenpaddle.relay.store.EntrySource;
import org.cyclamenpaddle.relay.wire.BackendCaller;
import org.cyclamenpaddle.relay.wire.BackendMessages;
import org.cyclamenpaddle.relay.wire.CallerMessages;
import org.cyclamenpaddle.relay.wire.EngineMessages;

/**
 * Adapter to a deployment's platform: its store objects and its messages.
 *
 * @param configurations source of the operators' configuration
 * @param backends source of the backend servers, each under its id
 * @param callerMessages decoder of callers' requests
 * @param backendMessages codec of requests to backend servers
 * @param engineMessages codec of calls about engine memory
 * @param hosts store of the hosts' registrations
 * @param lease store of the lease on orders
 * @param orders creates the client for orders to engines
 * @param connections connections to backend servers, which the relay closes
 */
public record PlatformAdapter(
        EntrySource<RelayConfiguration> configurations,
        EntrySource<Backend> backends,
        CallerMessages callerMessages,
        BackendMessages backendMessages,
        EngineMessages engineMessages,
        HostStore hosts,
        LeaseStore lease,
        Function<BackendCaller, EngineOrderClient> orders,
        BackendConnections connections) {}
