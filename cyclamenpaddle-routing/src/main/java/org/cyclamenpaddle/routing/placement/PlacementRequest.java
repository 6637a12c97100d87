package org.cyclamenpaddle.routing.placement;

import java.util.List;
import org.cyclamenpaddle.core.id.FailureDomain;
import org.cyclamenpaddle.core.id.ServiceName;

/**
 * Properties of a request that placement depends on.
 *
 * @param service the service
 * @param promptTokens tokens of the prompt
 * @param blockHashes chained hashes of the prompt's full blocks
 * @param pieces KV cache blocks of the prompt and the expected output
 * @param kvBytes size of the KV cache to transfer
 * @param expectedOutputTokens tokens expected to be generated
 * @param domain failure domain of the host that places it
 * @param millisLeft time left until the first token is due
 */
public record PlacementRequest(
        ServiceName service,
        int promptTokens,
        List<Long> blockHashes,
        int pieces,
        long kvBytes,
        int expectedOutputTokens,
        FailureDomain domain,
        long millisLeft) {

    public PlacementRequest {
        if (service == null || domain == null) {
            throw new IllegalArgumentException("placement request needs a service and a domain");
        }
        if (promptTokens < 0 || pieces < 0 || kvBytes < 0 || expectedOutputTokens < 0) {
            throw new IllegalArgumentException(
                    "placement request of " + service + " has a negative size");
        }
        blockHashes = List.copyOf(blockHashes);
    }
}
