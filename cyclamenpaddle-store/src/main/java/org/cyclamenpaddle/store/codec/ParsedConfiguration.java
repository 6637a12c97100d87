package org.cyclamenpaddle.store.codec;

import java.util.Map;
import org.cyclamenpaddle.core.config.ConfigurationView;
import org.cyclamenpaddle.core.config.ObjectKey;

/**
 * Result of decoding a set of configuration objects.
 *
 * @param view the valid objects
 * @param rejected why each other object was rejected, by its key
 */
public record ParsedConfiguration(ConfigurationView view, Map<ObjectKey, String> rejected) {
    public ParsedConfiguration {
        rejected = Map.copyOf(rejected);
    }
}
