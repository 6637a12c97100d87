package org.cyclamenpaddle.router.explain;

import java.util.List;
import org.cyclamenpaddle.core.id.RequestId;

/**
 * The decisions recorded for one request.
 *
 * @param request the request
 * @param decisions in the order in which they were made
 * @param omitted number of decisions beyond the bound that were not stored
 */
public record Explanation(RequestId request, List<Decision> decisions, int omitted) {

    public Explanation {
        if (request == null || omitted < 0) {
            throw new IllegalArgumentException(
                    "explanation needs a request and a non-negative number of omitted decisions,"
                            + " got request "
                            + request);
        }
        decisions = List.copyOf(decisions);
    }
}
