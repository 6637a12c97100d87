package org.cyclamenpaddle.engine.model;

import java.util.Optional;
import org.cyclamenpaddle.core.config.BackendRole;
import org.cyclamenpaddle.core.id.ServiceName;

/**
 * What an engine serves.
 *
 * @param service the service, if any
 * @param model the loaded model, if any
 * @param role its role, if any
 * @param fence the greatest fencing number it has seen
 * @param busy whether it is carrying out an order
 */
public record EngineState(
        Optional<ServiceName> service,
        Optional<String> model,
        Optional<BackendRole> role,
        long fence,
        boolean busy) {}
