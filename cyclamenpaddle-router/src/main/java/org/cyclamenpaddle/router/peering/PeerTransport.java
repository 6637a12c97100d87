package org.cyclamenpaddle.router.peering;

import java.util.concurrent.CompletableFuture;
import org.cyclamenpaddle.core.message.HostRecord;
import org.cyclamenpaddle.router.grant.PeerLink;

/** Sends messages to other entry hosts and probes them over new connections. */
public interface PeerTransport extends PeerLink {

    /**
     * Probes whether a host responds on a new connection; the future never completes exceptionally.
     */
    CompletableFuture<Boolean> probe(HostRecord target, long timeoutMillis);
}
