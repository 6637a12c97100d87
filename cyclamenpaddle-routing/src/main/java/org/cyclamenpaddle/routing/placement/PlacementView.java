package org.cyclamenpaddle.routing.placement;

import java.util.List;

/**
 * What one host knows when it places a request of a service.
 *
 * @param prefill backend servers that the preset in force has prefill for the service
 * @param decode backend servers that the preset in force has decode for the service
 * @param prefixes hints of cached prefixes
 * @param factors learned corrections of the predictions
 * @param turn number of requests that this host has placed before, for taking turns
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
