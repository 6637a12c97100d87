package org.cyclamenpaddle.routing.admission;

import java.util.List;
import org.cyclamenpaddle.routing.placement.Candidate;

/**
 * An admitted request with its ranked candidates.
 *
 * @param prefill prefill servers, best first; never empty
 * @param decode decode servers for the best prefill server, best first; never empty
 * @param firstTokenInMillis predicted time to the first token, from now
 */
public record Admitted(List<Candidate> prefill, List<Candidate> decode, long firstTokenInMillis) {

    public Admitted {
        prefill = List.copyOf(prefill);
        decode = List.copyOf(decode);
        if (prefill.isEmpty() || decode.isEmpty()) {
            throw new IllegalArgumentException(
                    "an admitted request needs prefill and decode candidates");
        }
    }
}
