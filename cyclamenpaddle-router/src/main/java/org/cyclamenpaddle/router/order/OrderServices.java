package org.cyclamenpaddle.router.order;

import org.cyclamenpaddle.core.id.Incarnation;
import org.cyclamenpaddle.core.time.Clock;
import org.cyclamenpaddle.router.backend.BackendClients;
import org.cyclamenpaddle.router.blackboard.Blackboard;
import org.cyclamenpaddle.router.event.EventLog;
import org.cyclamenpaddle.router.grant.LedgerManager;
import org.cyclamenpaddle.router.worker.Workers;

/**
 * What orders need of their host.
 *
 * @param self this host
 * @param blackboard the preset in force
 * @param ledgers which engines this host owns, and whether they get new work
 * @param clients engines
 * @param fences fencing numbers
 * @param slots slots shared by all hosts
 * @param workers pool
 * @param clock time in milliseconds
 * @param log events
 */
public record OrderServices(
        Incarnation self,
        Blackboard blackboard,
        LedgerManager ledgers,
        BackendClients clients,
        FenceStore fences,
        SlotStore slots,
        Workers workers,
        Clock clock,
        EventLog log) {}
