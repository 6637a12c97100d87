package org.cyclamenpaddle.engine.model;

import org.cyclamenpaddle.core.config.BackendRole;
import org.cyclamenpaddle.core.id.ServiceName;

/**
 * Orders an engine to serve a service in a role.
 *
 * @param fence fencing number
 * @param service the service
 * @param model the model to load
 * @param role the role to take
 * @param timeoutMillis longest time that the order stays valid, in milliseconds from now
 */
public record EngineOrder(
        long fence, ServiceName service, String model, BackendRole role, long timeoutMillis) {}
