package org.cyclamenpaddle.fleet.configuration;

import java.util.List;
import org.cyclamenpaddle.core.config.ConfigurationObject;
import org.cyclamenpaddle.core.message.ConfigurationRequest;
import org.cyclamenpaddle.core.message.ConfigurationResponse;
import org.cyclamenpaddle.core.message.HostRecord;

/** What the process has to do on behalf of {@link ConfigurationSync}. */
public sealed interface ConfigurationEffect {

    /** List all configuration objects; report by {@code onListing} or {@code onPlatformFailed}. */
    record ListPlatform() implements ConfigurationEffect {}

    /**
     * Wait for the next events; report by {@code onEvents}, {@code onCompacted} or {@code
     * onPlatformFailed}.
     *
     * @param afterRevision the last revision seen
     */
    record StartWatch(long afterRevision) implements ConfigurationEffect {}

    /** Abandon the listing or watch that is under way; its report is ignored. */
    record StopWatch() implements ConfigurationEffect {}

    /**
     * Ask a peer for what it has newer; report by {@code onPeerAnswer} or {@code onPeerFailed}.
     *
     * @param peer whom to ask
     * @param ask what this host has
     */
    record QueryPeer(HostRecord peer, ConfigurationRequest request)
            implements ConfigurationEffect {}

    /**
     * Answer a peer's ask.
     *
     * @param answer what it lacks
     */
    record Respond(ConfigurationResponse response) implements ConfigurationEffect {}

    /**
     * The replica took in newer objects; decisions have to be made by them from now on.
     *
     * @param objects the objects and tombstones taken in
     */
    record Applied(List<ConfigurationObject> objects) implements ConfigurationEffect {

        public Applied {
            objects = List.copyOf(objects);
        }
    }
}
