package org.cyclamenpaddle.relay.front;

import java.util.Set;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.relay.backend.Backend;
import org.cyclamenpaddle.relay.log.RelayEvent;
import org.cyclamenpaddle.relay.route.Route;
import org.cyclamenpaddle.relay.wire.CallerRequest;
import org.cyclamenpaddle.routing.buffer.ByteAccount;

/** Bound on held bytes that a body exceeds. */
enum BytesRefusal {
    /** Bound of the process; the request is refused. */
    PROCESS,
    /** Bound of one server; the request is placed on another one, if there is one. */
    SERVER;

    private static final String NONE = "none";

    /** Records a body that does not fit into the account of the process. */
    static void ofProcess(RelayContext relay, CallerRequest caller, Route route, long length) {
        ByteAccount account = relay.bytes();
        long bound = account.bounds().totalBytes();
        PROCESS.record(relay, caller, route, NONE, length, account.held(), bound);
    }

    /** Returns the servers that were tried and those where the body does not fit. */
    static Set<BackendId> serversToAvoid(
            RelayContext relay, RelayRequest request, Set<BackendId> tried) {
        Set<BackendId> avoid = relay.bytes().fullServers(request.body().length());
        if (!avoid.isEmpty()) {
            avoid.retainAll(
                    relay.registry().usable(request.service()).stream().map(Backend::id).toList());
        }
        avoid.removeAll(tried);
        avoid.forEach(server -> ofServer(relay, request, server));
        avoid.addAll(tried);
        return avoid;
    }

    /** Records a body that does not fit at a server. */
    static void ofServer(RelayContext relay, RelayRequest request, BackendId server) {
        ByteAccount account = relay.bytes();
        SERVER.record(
                relay,
                request.caller(),
                request.route(),
                server.value(),
                request.body().length(),
                account.outstanding(server),
                account.bounds().serverBytes());
    }

    private void record(
            RelayContext relay,
            CallerRequest caller,
            Route route,
            String server,
            long length,
            long held,
            long bound) {
        relay.metrics().recordBytesRefused(this);
        relay.log().log(
                RelayEvent.BYTES_REFUSED, caller.id(), route.name(), server, length, held, bound);
    }
}
