package org.cyclamenpaddle.store.codec;

import java.util.Map;
import org.cyclamenpaddle.core.config.ConfigurationView;
import org.cyclamenpaddle.core.config.ObjectKey;

/**
 * What could be made of a set of configuration objects.
 *
 * @param view the objects that could be parsed
 * @param rejected why each other object was left out, by its key
 */
public record ParsedConfiguration(ConfigurationView view, Map<ObjectKey, String> rejected) {
    public ParsedConfiguration {
        rejected = Map.copyOf(rejected);
    }
}
