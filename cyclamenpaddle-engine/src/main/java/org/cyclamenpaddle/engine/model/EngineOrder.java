package org.cyclamenpaddle.engine.model;

import org.cyclamenpaddle.core.config.BackendRole;
import org.cyclamenpaddle.core.id.ServiceName;

/**
 * An order to an engine to serve a service in a role.
 *
 * @param fence fencing token
 * @param service the service
 * @param model the model to load
 * @param role the role to take
 * @param timeoutMillis how long the order stays valid, in milliseconds from now
 */
public record EngineOrder(
        long fence, ServiceName service, String model, BackendRole role, long timeoutMillis) {}
