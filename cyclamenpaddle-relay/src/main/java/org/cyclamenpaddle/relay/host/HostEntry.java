package org.cyclamenpaddle.relay.host;

import java.util.Optional;
import org.cyclamenpaddle.core.id.FailureDomain;
import org.cyclamenpaddle.relay.settings.Endpoint;

/**
 * Registration of a host in the store.
 *
 * @param heartbeat value that differs from that of the previous registration
 * @param domain failure domain of the host; empty if it states none
 * @param peers address for the messages between hosts; empty for a host without them
 * @param requests address for requests that other hosts hand over; empty for a host that takes none
 * @param quarantined requests that the host refuses, as text; what a host that starts, or missed a
 *     notice, learns from; empty for none
 */
public record HostEntry(
        long heartbeat,
        Optional<FailureDomain> domain,
        Optional<Endpoint> peers,
        Optional<Endpoint> requests,
        String quarantined) {

    public HostEntry {
        if (domain == null || peers == null || requests == null || quarantined == null) {
            throw new IllegalArgumentException(
                    "host entry needs an optional domain, optional addresses and a record");
        }
    }
}
