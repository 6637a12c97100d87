package org.cyclamenpaddle.router.request;

import org.cyclamenpaddle.core.time.Clock;
import org.cyclamenpaddle.router.backend.BackendClients;
import org.cyclamenpaddle.router.backend.Canceller;
import org.cyclamenpaddle.router.blackboard.Blackboard;
import org.cyclamenpaddle.router.metric.RouterMetrics;
import org.cyclamenpaddle.router.worker.Workers;

/**
 * Services used by every run of a request.
 *
 * @param clock time in milliseconds
 * @param workers worker pool and timers
 * @param blackboard tables of this host
 * @param clients engine clients
 * @param canceller cancels attempts until the engine confirms
 * @param grants requests grants from ledgers on this host or peers
 * @param prefixes notified of prefixes that engines have cached
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
