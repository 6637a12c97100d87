package org.cyclamenpaddle.router.explain;

import java.util.List;
import org.cyclamenpaddle.core.id.RequestId;

/**
 * What was decided for one request.
 *
 * @param request the request
 * @param decisions in the order in which they were made
 * @param omitted decisions beyond the bound that were not kept
 */
public record Explanation(RequestId request, List<Decision> decisions, int omitted) {

    public Explanation {
        if (request == null || omitted < 0) {
            throw new IllegalArgumentException("bad explanation of " + request);
        }
        decisions = List.copyOf(decisions);
    }
}
