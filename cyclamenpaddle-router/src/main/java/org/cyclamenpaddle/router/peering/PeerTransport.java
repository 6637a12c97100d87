package org.cyclamenpaddle.router.peering;

import java.util.concurrent.CompletableFuture;
import org.cyclamenpaddle.core.message.HostRecord;
import org.cyclamenpaddle.router.grant.PeerLink;

/** Messages and new connections to other entry hosts. */
public interface PeerTransport extends PeerLink {

    /** Tries whether a host answers on a new connection; the future never fails. */
    CompletableFuture<Boolean> probe(HostRecord target, long timeoutMillis);
}
