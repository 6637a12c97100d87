package org.cyclamenpaddle.relay.handover;

import java.util.Optional;
import java.util.OptionalLong;
import org.cyclamenpaddle.core.id.HostId;
import org.cyclamenpaddle.core.id.ServiceName;
import org.cyclamenpaddle.core.id.TeamName;
import org.cyclamenpaddle.routing.stream.StreamBinding;

/**
 * What a host has decided about a request that it hands over.
 *
 * @param from host that the caller has sent it to
 * @param service service that was selected for it
 * @param version version of the configuration by which it was admitted
 * @param treatment how that version treats the request; empty if the host is of an older build
 * @param team team of the caller; empty if it has none
 * @param timeoutMillis time left until its final response, in milliseconds
 * @param attempts number of backend servers that it may still be sent to
 * @param counted whether it is counted for the retry budget already
 * @param resumeAfter id of the last event that its caller has; empty at the beginning
 * @param binding software versions at which it may run
 * @param fingerprint fingerprint of a request with an API key, which is not handed over; empty for
 *     one without
 */
public record HandoverTerms(
        HostId from,
        ServiceName service,
        long version,
        OptionalLong treatment,
        Optional<TeamName> team,
        long timeoutMillis,
        int attempts,
        boolean counted,
        Optional<String> resumeAfter,
        StreamBinding binding,
        OptionalLong fingerprint) {

    public HandoverTerms {
        if (from == null
                || service == null
                || binding == null
                || timeoutMillis < 0
                || attempts < 1) {
            throw new IllegalArgumentException(
                    "terms need a host, a service, a binding, a timeout and at least one attempt");
        }
    }
}
