package org.cyclamenpaddle.relay.route;

import java.util.Optional;
import org.cyclamenpaddle.core.id.ServiceName;

/**
 * What the operators say of a service.
 *
 * @param name the service
 * @param engine shape of its engines; empty for a plain service
 */
public record ServicePolicy(ServiceName name, Optional<EngineProfile> engine) {

    public ServicePolicy {
        if (name == null || engine == null) {
            throw new IllegalArgumentException("service needs a name");
        }
    }
}
