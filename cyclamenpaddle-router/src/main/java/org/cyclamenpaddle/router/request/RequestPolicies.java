package org.cyclamenpaddle.router.request;

import org.cyclamenpaddle.routing.admission.Admission;
import org.cyclamenpaddle.routing.placement.PlacementPolicy;
import org.cyclamenpaddle.routing.placement.PrefixHints;
import org.cyclamenpaddle.routing.retry.RetryBudget;

/**
 * The decisions that requests of one host share.
 *
 * @param policy how candidates are ordered
 * @param admission whether a request is taken at all
 * @param retries budget of retries, locked by its own monitor
 * @param prefixes hints of cached prefixes
 * @param accounting expected lengths and limits
 * @param latencies times between failure domains
 */
public record RequestPolicies(
        PlacementPolicy policy,
        Admission admission,
        RetryBudget retries,
        PrefixHints prefixes,
        RequestAccounting accounting,
        DomainLatencies latencies) {}
