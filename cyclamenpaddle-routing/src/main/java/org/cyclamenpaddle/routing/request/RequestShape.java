package org.cyclamenpaddle.routing.request;

import java.util.List;
import org.cyclamenpaddle.core.id.RequestId;
import org.cyclamenpaddle.core.id.ServiceName;
import org.cyclamenpaddle.core.id.TeamName;

/**
 * What decisions need to know of a request.
 *
 * @param id the request
 * @param service the model service
 * @param team the caller's team
 * @param fingerprint hash of service and prompt, equal for a resend
 * @param promptTokens estimated tokens of the prompt
 * @param blockHashes chained hashes of the prompt's whole blocks
 * @param maxTokens most tokens to generate
 * @param firstTokenMillis time left for the first token when the request arrived
 * @param kvBytesPerToken bytes of KV cache for each token
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
            throw new IllegalArgumentException("request lacks id, service or team");
        }
        if (promptTokens < 1 || maxTokens < 1) {
            throw new IllegalArgumentException(
                    "request "
                            + id
                            + " needs tokens: prompt "
                            + promptTokens
                            + ", to generate "
                            + maxTokens);
        }
        blockHashes = List.copyOf(blockHashes);
    }

    /** Returns the bytes of KV cache of the prompt and {@code generated} more tokens. */
    public long kvBytes(int generated) {
        return (promptTokens + (long) generated) * kvBytesPerToken;
    }
}
