package org.cyclamenpaddle.core.message;

import java.util.List;
import org.cyclamenpaddle.core.config.ConfigurationObject;

/**
 * Configuration objects, in answer to {@link ConfigurationRequest} or pushed after a change.
 *
 * @param objects whole objects and tombstones
 */
public record ConfigurationResponse(List<ConfigurationObject> objects) implements PeerMessage {

    public ConfigurationResponse {
        objects = List.copyOf(objects);
    }
}
