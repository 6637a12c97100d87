package org.cyclamenpaddle.peer.net;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.cyclamenpaddle.core.id.FailureDomain;
import org.cyclamenpaddle.core.id.HostId;
import org.cyclamenpaddle.core.id.Incarnation;
import org.cyclamenpaddle.core.message.HostRecord;
import org.cyclamenpaddle.core.message.HostState;
import org.cyclamenpaddle.core.message.PeerMessage;
import org.cyclamenpaddle.core.time.Clock;
import org.cyclamenpaddle.core.time.MonotonicClock;

/** Creates host records and networks on the loopback address. */
final class TestHosts {

    static final String LOOPBACK = "127.0.0.1";

    static final PeerListener NO_RESPONSE =
            (from, message) -> CompletableFuture.completedFuture(Optional.<PeerMessage>empty());

    /** Interval of liveness checks longer than any test. */
    static final PeerSettings NO_LIVENESS_CHECKS =
            new PeerSettings(1, 20_000, 10, 100, 60_000, 60_000, 64, 20_000, 16);

    /** Checks liveness often, by the clock of the network. */
    static final PeerSettings LIVENESS_CHECKS =
            new PeerSettings(1, 20_000, 10, 100, 50, 60_000, 64, 20_000, 16);

    private TestHosts() {}

    static HostRecord host(String name, int port) {
        return host(name, 1, port);
    }

    static HostRecord host(String name, long incarnation, int port) {
        return new HostRecord(
                new Incarnation(new HostId(name), incarnation),
                new FailureDomain("ahm"),
                LOOPBACK,
                port,
                0,
                HostState.ALIVE);
    }

    /** A network and the host record by which others reach it. */
    record Node(PeerNetwork network, HostRecord host) implements AutoCloseable {
        @Override
        public void close() {
            network.close();
        }
    }

    static Node node(
            String name, PeerListener listener, PeerSettings settings, PeerCounters counters) {
        return node(name, listener, settings, new MonotonicClock(), counters);
    }

    static Node node(
            String name,
            PeerListener listener,
            PeerSettings settings,
            Clock clock,
            PeerCounters counters) {
        HostRecord unbound = host(name, 0);
        PeerNetwork network = new PeerNetwork(() -> unbound, listener, settings, clock, counters);
        return new Node(network, host(name, network.start(LOOPBACK, 0).get()));
    }

    static Node node(String name, PeerListener listener) {
        return node(name, listener, NO_LIVENESS_CHECKS, PeerCounters.NONE);
    }
}
