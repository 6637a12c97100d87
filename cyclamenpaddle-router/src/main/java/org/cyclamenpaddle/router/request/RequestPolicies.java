package org.cyclamenpaddle.router.request;

import org.cyclamenpaddle.routing.admission.Admission;
import org.cyclamenpaddle.routing.placement.PlacementPolicy;
import org.cyclamenpaddle.routing.placement.PrefixHints;
import org.cyclamenpaddle.routing.retry.RetryBudget;

/**
 * Routing policies and estimators shared by the requests of one host.
 *
 * @param policy ranks candidate backend servers
 * @param admission decides whether a request is admitted
 * @param retries retry budget, guarded by its own monitor
 * @param prefixes hints about cached prefixes
 * @param accounting expected output lengths and concurrency limits
 * @param latencies one-way network latencies between failure domains
 */
public record RequestPolicies(
        PlacementPolicy policy,
        Admission admission,
        RetryBudget retries,
        PrefixHints prefixes,
        RequestAccounting accounting,
        DomainLatencies latencies) {}
