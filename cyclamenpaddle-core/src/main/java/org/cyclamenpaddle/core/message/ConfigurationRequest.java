package org.cyclamenpaddle.core.message;

import java.util.Map;

/**
 * Asks for every configuration object newer than those the sender has.
 *
 * @param knownVersions versions by key path that the sender has
 */
public record ConfigurationRequest(Map<String, Long> knownVersions) implements PeerMessage {

    public ConfigurationRequest {
        knownVersions = Map.copyOf(knownVersions);
    }
}
