package org.cyclamenpaddle.core.message;

import java.util.List;
import org.cyclamenpaddle.core.config.ConfigurationObject;

/**
 * Configuration objects, in answer to {@link ConfigurationAsk} or pushed after a change.
 *
 * @param objects whole objects and tombstones
 */
public record ConfigurationAnswer(List<ConfigurationObject> objects) implements PeerMessage {

    public ConfigurationAnswer {
        objects = List.copyOf(objects);
    }
}
