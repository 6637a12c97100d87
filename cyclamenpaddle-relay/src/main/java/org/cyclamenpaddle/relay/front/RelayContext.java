package org.cyclamenpaddle.relay.front;

import java.util.function.DoubleSupplier;
import org.cyclamenpaddle.core.table.Table;
import org.cyclamenpaddle.core.time.Clock;
import org.cyclamenpaddle.engine.http.BackendConnections;
import org.cyclamenpaddle.relay.backend.BackendRegistry;
import org.cyclamenpaddle.relay.log.DecisionLog;
import org.cyclamenpaddle.relay.metric.RelayMetrics;
import org.cyclamenpaddle.relay.role.DemandMeter;
import org.cyclamenpaddle.relay.wire.BackendMessages;
import org.cyclamenpaddle.relay.wire.EngineMessages;
import org.cyclamenpaddle.routing.reservation.ReturningClients;

/**
 * What the exchanges of all requests share.
 *
 * @param board backend servers
 * @param budget repeats
 * @param demand of generations
 * @param returningClients how long callers wait, by route
 * @param connections to backend servers
 * @param backendMessages how callers' requests are sent on
 * @param engineMessages how engines are spoken to about their memory
 * @param log decision lines
 * @param metrics counters
 * @param clock this host's clock
 * @param random even draws from 0 to 1
 */
public record RelayContext(
        BackendRegistry board,
        SharedRetryBudget budget,
        DemandMeter demand,
        Table<ReturningClients> returningClients,
        BackendConnections connections,
        BackendMessages backendMessages,
        EngineMessages engineMessages,
        DecisionLog log,
        RelayMetrics metrics,
        Clock clock,
        DoubleSupplier random) {}
