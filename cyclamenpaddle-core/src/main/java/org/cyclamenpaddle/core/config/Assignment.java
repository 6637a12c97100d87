package org.cyclamenpaddle.core.config;

import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.id.ServiceName;

/**
 * Assignment of one backend server to a service and a role by a preset.
 *
 * @param backend the backend server
 * @param service the service that it serves
 * @param role its role for that service
 */
public record Assignment(BackendId backend, ServiceName service, BackendRole role) {

    public Assignment {
        if (backend == null || service == null || role == null) {
            throw new IllegalArgumentException(
                    "assignment needs backend, service and role: "
                            + backend
                            + ", "
                            + service
                            + ", "
                            + role);
        }
    }
}
