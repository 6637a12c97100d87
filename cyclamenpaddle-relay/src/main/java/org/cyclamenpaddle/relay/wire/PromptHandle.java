package org.cyclamenpaddle.relay.wire;

/**
 * A prompt that a prefill engine has read and keeps for a short time.
 *
 * @param endpoint address with port of the prefill engine
 * @param name names the kept prompt there
 */
public record PromptHandle(String endpoint, String name) {

    public PromptHandle {
        if (endpoint == null || name == null || name.isEmpty()) {
            throw new IllegalArgumentException("handle needs an endpoint and a name");
        }
    }
}
