package org.cyclamenpaddle.fleet.order;

import org.cyclamenpaddle.core.config.BackendRole;
import org.cyclamenpaddle.core.id.ServiceName;

/**
 * What an engine is set up for.
 *
 * @param service the service it serves
 * @param model the model it has loaded
 * @param role what it does for the service
 */
public record EngineSetup(ServiceName service, String model, BackendRole role) {

    public EngineSetup {
        if (service == null || model == null || role == null) {
            throw new IllegalArgumentException(
                    "engine setup needs service, model and role: " + service + ", " + model);
        }
    }
}
