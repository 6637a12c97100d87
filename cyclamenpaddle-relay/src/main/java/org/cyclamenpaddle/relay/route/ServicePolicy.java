package org.cyclamenpaddle.relay.route;

import java.util.Optional;
import org.cyclamenpaddle.core.id.ServiceName;

/**
 * Configuration of a service.
 *
 * @param name name of the service
 * @param engine profile of its engines; empty for a plain service
 * @param healthPath path of its servers' health check; empty if there is none that can be requested
 */
public record ServicePolicy(
        ServiceName name, Optional<EngineProfile> engine, Optional<String> healthPath) {

    public ServicePolicy {
        if (name == null || engine == null || healthPath == null) {
            throw new IllegalArgumentException(
                    "service needs a name, an optional engine profile and an optional health path");
        }
        healthPath = healthPath.filter(path -> path.startsWith("/"));
    }
}
