package org.cyclamenpaddle.relay.assembly;

import com.linecorp.armeria.server.Server;
import java.net.InetSocketAddress;
import org.cyclamenpaddle.relay.settings.Endpoint;

/** Determines the ports of a server whose settings leave them open with 0. */
final class BoundPorts {

    private BoundPorts() {}

    /**
     * Returns the port on which a server listens for an endpoint of its settings.
     *
     * <p>The library's own lookup knows only loopback and wildcard addresses and fails on a host
     * that is bound to its own address, so the bound ports are searched only if the port was left
     * open.
     */
    static int of(Server server, Endpoint endpoint) {
        if (endpoint.port() != 0) {
            return endpoint.port();
        }
        return server.activePorts().keySet().stream()
                .filter(bound -> bound.getAddress().getHostAddress().equals(endpoint.address()))
                .mapToInt(InetSocketAddress::getPort)
                .findFirst()
                .orElseThrow();
    }
}
