package org.cyclamenpaddle.relay.assembly;

import org.cyclamenpaddle.engine.http.BackendConnections;
import org.cyclamenpaddle.relay.backend.Backend;
import org.cyclamenpaddle.relay.host.HostStore;
import org.cyclamenpaddle.relay.role.EngineOrders;
import org.cyclamenpaddle.relay.role.LeaseStore;
import org.cyclamenpaddle.relay.route.RelayConfiguration;
import org.cyclamenpaddle.relay.store.EntrySource;
import org.cyclamenpaddle.relay.wire.BackendMessages;
import org.cyclamenpaddle.relay.wire.CallerMessages;
import org.cyclamenpaddle.relay.wire.EngineMessages;

/**
 * What a deployment brings along: its store's objects and its messages.
 *
 * @param configurations the operators' configuration
 * @param backends backend servers, each under its id
 * @param callerMessages decodes callers' requests
 * @param backendMessages sends callers' requests on to backend servers
 * @param engineMessages speaks to engines about their memory
 * @param hosts where hosts announce themselves
 * @param lease keeps the lease on orders
 * @param orders gives them
 * @param connections to backend servers, which the relay closes
 */
public record PlatformAdapter(
        EntrySource<RelayConfiguration> configurations,
        EntrySource<Backend> backends,
        CallerMessages callerMessages,
        BackendMessages backendMessages,
        EngineMessages engineMessages,
        HostStore hosts,
        LeaseStore lease,
        EngineOrders orders,
        BackendConnections connections) {}
