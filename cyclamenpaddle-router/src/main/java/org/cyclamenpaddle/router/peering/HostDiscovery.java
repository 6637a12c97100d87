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
 * Finds hosts by address: from the settings, and from the platform's lagging list.
 *
 * <p>An address says nothing of the host's life, so each one that no live member has is asked who
 * it is by a new connection.
 */
public final class HostDiscovery {

    private static final long HELLO_MILLIS = 500;

    private final List<PeerAddress> mSeeds;
    private final HostList mHostList;
    private final MembershipDriver mMembership;
    private final HelloClient mGreeter;
    private final PlatformHealth mHealth;

    /** Asks who answers at an address. */
    @FunctionalInterface
    public interface HelloClient {

        /** Completes with the host that answered, or empty; never exceptionally. */
        CompletableFuture<Optional<HostRecord>> hello(String address, int port, long timeoutMillis);
    }

    /**
     * Creates the finder.
     *
     * @param seeds addresses from the settings
     * @param hostList the platform's list
     * @param membership takes what is found
     * @param greeter asks an address who it is
     * @param health told whether the platform answers
     */
    public HostDiscovery(
            List<PeerAddress> seeds,
            HostList hostList,
            MembershipDriver membership,
            HelloClient greeter,
            PlatformHealth health) {
        mSeeds = List.copyOf(seeds);
        mHostList = hostList;
        mMembership = membership;
        mGreeter = greeter;
        mHealth = health;
    }

    /** Greets every address that no live member has. */
    public void tick() {
        greet(new HashSet<>(mSeeds));
        mHostList.hosts().thenAccept(answer -> answer.peek(listing -> greet(addresses(listing))));
    }

    private static Set<PeerAddress> addresses(HostListing listing) {
        return listing.hosts().stream()
                .filter(host -> !host.leaving())
                .map(host -> new PeerAddress(host.address(), host.peerPort()))
                .collect(Collectors.toSet());
    }

    private void greet(Set<PeerAddress> addresses) {
        Set<PeerAddress> known =
                mMembership.hosts().stream()
                        .filter(host -> host.state() != HostState.DEAD)
                        .map(host -> new PeerAddress(host.address(), host.peerPort()))
                        .collect(Collectors.toSet());
        addresses.stream()
                .filter(address -> !known.contains(address))
                .forEach(
                        address ->
                                mGreeter.hello(address.address(), address.port(), HELLO_MILLIS)
                                        .thenAccept(
                                                found ->
                                                        found.ifPresent(
                                                                host ->
                                                                        mMembership.onHint(
                                                                                List.of(host)))));
    }
}
