package org.cyclamenpaddle.routing.placement;

import java.util.List;

/**
 * One host's view of the backend servers when it places a request of a service.
 *
 * @param prefill backend servers to which the preset in force assigns prefill for the service
 * @param decode backend servers to which the preset in force assigns decode for the service
 * @param prefixes hints of cached prefixes
 * @param factors learned corrections of the predictions
 * @param turn number of requests that this host has placed before, for round robin
 */
public record PlacementView(
        List<BackendView> prefill,
        List<BackendView> decode,
        PrefixHints prefixes,
        CostFactors factors,
        long turn) {

    public PlacementView {
        prefill = List.copyOf(prefill);
        decode = List.copyOf(decode);
    }
}
