package org.cyclamenpaddle.core.message;

import java.util.List;

/**
 * A request that was running on a backend server when it ended.
 *
 * @param request fingerprint of the request
 * @param parts fingerprints of the parts of its prompt that may have ended the server, in order
 */
public record LostRun(long request, List<Long> parts) {

    public LostRun {
        parts = List.copyOf(parts);
    }
}
