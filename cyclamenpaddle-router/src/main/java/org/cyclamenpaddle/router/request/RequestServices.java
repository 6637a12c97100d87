package org.cyclamenpaddle.router.request;

import org.cyclamenpaddle.core.time.Clock;
import org.cyclamenpaddle.router.backend.BackendClients;
import org.cyclamenpaddle.router.backend.Canceller;
import org.cyclamenpaddle.router.blackboard.Blackboard;
import org.cyclamenpaddle.router.metric.RouterMetrics;
import org.cyclamenpaddle.router.worker.Workers;

/**
 * What every run of a request uses.
 *
 * @param clock time in milliseconds
 * @param workers pool and timers
 * @param blackboard tables of this host
 * @param clients engines
 * @param canceller cancels until confirmed
 * @param grants ledgers, here or on peers
 * @param prefixes learns which prefixes engines have cached
 * @param metrics counters
 */
public record RequestServices(
        Clock clock,
        Workers workers,
        Blackboard blackboard,
        BackendClients clients,
        Canceller canceller,
        GrantClient grants,
        PrefixCacheListener prefixes,
        RouterMetrics metrics) {}
