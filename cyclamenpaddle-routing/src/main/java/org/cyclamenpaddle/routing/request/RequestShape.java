package org.cyclamenpaddle.routing.request;

import java.util.List;
import org.cyclamenpaddle.core.id.RequestId;
import org.cyclamenpaddle.core.id.ServiceName;
import org.cyclamenpaddle.core.id.TeamName;

/**
 * Properties of a request that decisions depend on.
 *
 * @param id the request
 * @param service the model service
 * @param team the caller's team
 * @param fingerprint hash of service and prompt, equal when the request is sent again
 * @param promptTokens estimated tokens of the prompt
 * @param blockHashes chained hashes of the prompt's full blocks
 * @param maxTokens maximum number of tokens to generate
 * @param firstTokenMillis time left until the first token is due, on arrival of the request
 * @param kvBytesPerToken bytes of KV cache per token
 */
public record RequestShape(
        RequestId id,
        ServiceName service,
        TeamName team,
        long fingerprint,
        int promptTokens,
        List<Long> blockHashes,
        int maxTokens,
        long firstTokenMillis,
        long kvBytesPerToken) {

    public RequestShape {
        if (id == null || service == null || team == null) {
            throw new IllegalArgumentException("a request needs an id, a service and a team");
        }
        if (promptTokens < 1 || maxTokens < 1) {
            throw new IllegalArgumentException(
                    "request "
                            + id
                            + " needs at least one token each: prompt "
                            + promptTokens
                            + ", to generate "
                            + maxTokens);
        }
        blockHashes = List.copyOf(blockHashes);
    }

    /** Returns the KV cache size in bytes of the prompt and {@code generated} more tokens. */
    public long kvBytes(int generated) {
        return (promptTokens + (long) generated) * kvBytesPerToken;
    }
}
