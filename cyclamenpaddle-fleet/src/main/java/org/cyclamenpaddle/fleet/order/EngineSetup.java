package org.cyclamenpaddle.fleet.order;

import org.cyclamenpaddle.core.config.BackendRole;
import org.cyclamenpaddle.core.id.ServiceName;

/**
 * Setup of an engine.
 *
 * @param service the service that it serves
 * @param model the model that it has loaded
 * @param role its role for the service
 */
public record EngineSetup(ServiceName service, String model, BackendRole role) {

    public EngineSetup {
        if (service == null || model == null || role == null) {
            throw new IllegalArgumentException(
                    "engine setup needs service, model and role: " + service + ", " + model);
        }
    }
}
