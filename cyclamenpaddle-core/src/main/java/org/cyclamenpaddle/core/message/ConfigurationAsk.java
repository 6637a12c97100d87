package org.cyclamenpaddle.core.message;

import java.util.Map;

/**
 * Asks for every configuration object newer than those the sender has.
 *
 * @param known versions by key path that the sender has
 */
public record ConfigurationAsk(Map<String, Long> known) implements PeerMessage {

    public ConfigurationAsk {
        known = Map.copyOf(known);
    }
}
