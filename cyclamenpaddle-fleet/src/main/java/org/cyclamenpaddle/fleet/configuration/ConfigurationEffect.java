package org.cyclamenpaddle.fleet.configuration;

import java.util.List;
import org.cyclamenpaddle.core.config.ConfigurationObject;
import org.cyclamenpaddle.core.message.ConfigurationRequest;
import org.cyclamenpaddle.core.message.ConfigurationResponse;
import org.cyclamenpaddle.core.message.HostRecord;

/** Actions that the process performs on behalf of {@link ConfigurationSync}. */
public sealed interface ConfigurationEffect {

    /** List all configuration objects; report by {@code onListing} or {@code onPlatformFailed}. */
    record ListPlatform() implements ConfigurationEffect {}

    /**
     * Watch for further events; report by {@code onEvents}, {@code onCompacted} or {@code
     * onPlatformFailed}.
     *
     * @param afterRevision the last processed revision
     */
    record StartWatch(long afterRevision) implements ConfigurationEffect {}

    /** Cancel the listing or watch in flight; its report is ignored. */
    record StopWatch() implements ConfigurationEffect {}

    /**
     * Request newer objects from a peer; report by {@code onPeerResponse} or {@code onPeerFailed}.
     *
     * @param peer the peer
     * @param request the versions that this host has
     */
    record QueryPeer(HostRecord peer, ConfigurationRequest request)
            implements ConfigurationEffect {}

    /**
     * Respond to a peer's request.
     *
     * @param response the objects that the peer lacks
     */
    record Respond(ConfigurationResponse response) implements ConfigurationEffect {}

    /**
     * The replica accepted newer objects, which are effective from now on.
     *
     * @param objects the accepted objects and tombstones
     */
    record Applied(List<ConfigurationObject> objects) implements ConfigurationEffect {

        public Applied {
            objects = List.copyOf(objects);
        }
    }
}
