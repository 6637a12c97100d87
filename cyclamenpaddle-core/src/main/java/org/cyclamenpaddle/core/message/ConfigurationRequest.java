package org.cyclamenpaddle.core.message;

import java.util.Map;

/**
 * Requests every configuration object that is newer than the sender's version of it.
 *
 * @param knownVersions versions by key path that the sender has
 */
public record ConfigurationRequest(Map<String, Long> knownVersions) implements PeerMessage {

    public ConfigurationRequest {
        knownVersions = Map.copyOf(knownVersions);
    }
}
