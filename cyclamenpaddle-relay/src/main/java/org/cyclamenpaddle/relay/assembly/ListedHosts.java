package org.cyclamenpaddle.relay.assembly;

import io.vavr.control.Try;
import java.util.stream.Stream;
import org.cyclamenpaddle.core.id.HostId;
import org.cyclamenpaddle.relay.handover.Helper;
import org.cyclamenpaddle.relay.host.HostEntry;
import org.cyclamenpaddle.relay.host.LiveHost;
import org.cyclamenpaddle.relay.quota.PeerAddress;

/** Addresses of a host that the store lists. */
final class ListedHosts {

    private ListedHosts() {}

    /** Returns where a host takes over requests; empty if it does not. */
    static Stream<Helper> helper(LiveHost host) {
        HostEntry entry = host.entry();
        return entry.domain().isPresent() && entry.requests().isPresent()
                ? id(host).map(id -> new Helper(id, entry.domain().get(), entry.requests().get()))
                : Stream.empty();
    }

    /** Another writer may have named an entry like no host. */
    private static Stream<HostId> id(LiveHost host) {
        return Try.of(() -> new HostId(host.name())).toJavaStream();
    }

    /** Returns where a host receives messages; empty for one of an older build. */
    static Stream<PeerAddress> peer(LiveHost host) {
        HostEntry entry = host.entry();
        return entry.domain().isPresent() && entry.peers().isPresent()
                ? id(host).map(id -> new PeerAddress(id, entry.domain().get(), entry.peers().get()))
                : Stream.empty();
    }
}
