package org.cyclamenpaddle.router.peering;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import org.cyclamenpaddle.core.message.HostRecord;
import org.cyclamenpaddle.core.message.HostState;
import org.cyclamenpaddle.router.configuration.PlatformHealth;
import org.cyclamenpaddle.router.settings.PeerAddress;
import org.cyclamenpaddle.store.hosts.HostList;
import org.cyclamenpaddle.store.hosts.HostListing;

/**
 * Discovers hosts by address, from the settings and from the platform's host list, which may lag.
 *
 * <p>An address does not identify the incarnation of a host, so each address without a live member
 * is queried over a new connection.
 */
public final class HostDiscovery {

    private static final long HELLO_TIMEOUT_MILLIS = 500;

    private final List<PeerAddress> mSeeds;
    private final HostList mHostList;
    private final MembershipDriver mMembership;
    private final HelloClient mHelloClient;
    private final PlatformHealth mHealth;

    /** Queries which host responds at an address. */
    @FunctionalInterface
    public interface HelloClient {

        /** Completes with the host that responded, or empty; never exceptionally. */
        CompletableFuture<Optional<HostRecord>> hello(String address, int port, long timeoutMillis);
    }

    /**
     * Creates the discovery.
     *
     * @param seeds addresses from the settings
     * @param hostList the platform's host list
     * @param membership receives the discovered hosts
     * @param helloClient queries which host responds at an address
     * @param health notified whether the platform responds
     */
    public HostDiscovery(
            List<PeerAddress> seeds,
            HostList hostList,
            MembershipDriver membership,
            HelloClient helloClient,
            PlatformHealth health) {
        mSeeds = List.copyOf(seeds);
        mHostList = hostList;
        mMembership = membership;
        mHelloClient = helloClient;
        mHealth = health;
    }

    /** Sends a hello to every address without a live member. */
    public void tick() {
        sendHello(new HashSet<>(mSeeds));
        mHostList
                .hosts()
                .thenAccept(response -> response.peek(listing -> sendHello(addresses(listing))));
    }

    private static Set<PeerAddress> addresses(HostListing listing) {
        return listing.hosts().stream()
                .filter(host -> !host.leaving())
                .map(host -> new PeerAddress(host.address(), host.peerPort()))
                .collect(Collectors.toSet());
    }

    private void sendHello(Set<PeerAddress> addresses) {
        Set<PeerAddress> known =
                mMembership.hosts().stream()
                        .filter(host -> host.state() != HostState.DEAD)
                        .map(host -> new PeerAddress(host.address(), host.peerPort()))
                        .collect(Collectors.toSet());
        addresses.stream()
                .filter(address -> !known.contains(address))
                .forEach(
                        address ->
                                mHelloClient
                                        .hello(
                                                address.address(),
                                                address.port(),
                                                HELLO_TIMEOUT_MILLIS)
                                        .thenAccept(
                                                found ->
                                                        found.ifPresent(
                                                                host ->
                                                                        mMembership.onHint(
                                                                                List.of(host)))));
    }
}
