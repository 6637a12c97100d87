package org.cyclamenpaddle.relay.route;

import java.util.Optional;
import org.cyclamenpaddle.core.id.ServiceName;

/**
 * Configuration of a service.
 *
 * @param name name of the service
 * @param engine profile of its engines; empty for a plain service
 */
public record ServicePolicy(ServiceName name, Optional<EngineProfile> engine) {

    public ServicePolicy {
        if (name == null || engine == null) {
            throw new IllegalArgumentException(
                    "service needs a name and an optional engine profile");
        }
    }
}
