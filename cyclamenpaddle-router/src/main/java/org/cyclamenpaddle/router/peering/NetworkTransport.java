package org.cyclamenpaddle.router.peering;

import io.vavr.control.Either;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.cyclamenpaddle.core.message.HostRecord;
import org.cyclamenpaddle.core.message.PeerMessage;
import org.cyclamenpaddle.peer.net.PeerError;
import org.cyclamenpaddle.peer.net.PeerNetwork;

/** The transport over the peer network, which itself needs the controllers that use it. */
public final class NetworkTransport implements PeerTransport, HostDiscovery.HelloClient {

    private final Supplier<PeerNetwork> mNetwork;

    /**
     * Creates the transport.
     *
     * @param network the network; asked for only once messages flow
     */
    public NetworkTransport(Supplier<PeerNetwork> network) {
        mNetwork = network;
    }

    @Override
    public void send(HostRecord to, PeerMessage message) {
        mNetwork.get().send(to, message);
    }

    @Override
    public CompletableFuture<Either<PeerError, PeerMessage>> request(
            HostRecord to, PeerMessage message, long timeoutMillis) {
        return mNetwork.get().request(to, message, timeoutMillis);
    }

    @Override
    public CompletableFuture<Boolean> probe(HostRecord target, long timeoutMillis) {
        return mNetwork.get().probe(target, timeoutMillis);
    }

    @Override
    public CompletableFuture<Optional<HostRecord>> hello(
            String address, int port, long timeoutMillis) {
        return mNetwork.get().handshake(address, port, timeoutMillis);
    }
}
