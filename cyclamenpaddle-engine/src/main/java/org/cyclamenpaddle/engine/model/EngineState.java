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
 * @param fence the highest fencing token that it has received
 * @param busy whether it is executing an order
 * @param servesUnordered whether it serves any role until it receives an order
 */
public record EngineState(
        Optional<ServiceName> service,
        Optional<String> model,
        Optional<BackendRole> role,
        long fence,
        boolean busy,
        boolean servesUnordered) {

    /** Creates the state of an engine that serves nothing until it receives an order. */
    public EngineState(
            Optional<ServiceName> service,
            Optional<String> model,
            Optional<BackendRole> role,
            long fence,
            boolean busy) {
        this(service, model, role, fence, busy, false);
    }
}
