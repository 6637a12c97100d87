package org.cyclamenpaddle.relay.wire;

/**
 * Handle of a prompt whose KV cache a prefill engine holds for a short time.
 *
 * @param endpoint address and port of the prefill engine
 * @param name name of the prompt on that engine
 */
public record PromptHandle(String endpoint, String name) {

    public PromptHandle {
        if (endpoint == null || name == null || name.isEmpty()) {
            throw new IllegalArgumentException("prompt handle needs an endpoint and a name");
        }
    }
}
