package org.cyclamenpaddle.relay.front;

import java.util.function.DoubleSupplier;
import org.cyclamenpaddle.core.table.Table;
import org.cyclamenpaddle.core.time.Clock;
import org.cyclamenpaddle.engine.http.BackendConnections;
import org.cyclamenpaddle.relay.backend.BackendRegistry;
import org.cyclamenpaddle.relay.crash.CrashDetector;
import org.cyclamenpaddle.relay.crash.PartTracker;
import org.cyclamenpaddle.relay.crash.RequestQuarantine;
import org.cyclamenpaddle.relay.handover.HelperDirectory;
import org.cyclamenpaddle.relay.handover.ReachabilityMonitor;
import org.cyclamenpaddle.relay.log.RelayEventLog;
import org.cyclamenpaddle.relay.metric.RelayMetrics;
import org.cyclamenpaddle.relay.resume.StreamMemory;
import org.cyclamenpaddle.relay.role.DemandMeter;
import org.cyclamenpaddle.relay.store.ListingAge;
import org.cyclamenpaddle.relay.wire.BackendMessages;
import org.cyclamenpaddle.relay.wire.EngineMessages;
import org.cyclamenpaddle.routing.buffer.ByteAccount;
import org.cyclamenpaddle.routing.reservation.ReturningCallers;

/**
 * Dependencies shared by the exchanges of all requests.
 *
 * @param registry state of the backend servers
 * @param budget retry budget
 * @param demand measured demand of generations
 * @param returningClients how long callers wait and whether they retry, by route
 * @param connections connections to backend servers
 * @param permits permits for backend servers that limit their calls
 * @param bytes account of the bytes held for callers and backend servers
 * @param crashes detects backend servers that have ended
 * @param quarantine requests that end each server that runs them
 * @param parts parts of prompts under which servers end
 * @param listing whether the entries of the servers are recent
 * @param streams where the streams began that callers may take up
 * @param reachability whether this host reaches the servers of a service
 * @param helpers other hosts that take over requests
 * @param calls calls to backend servers beside the requests of callers
 * @param silenceChecks asks whether servers respond that all seem to be silent
 * @param backendMessages codec of requests to backend servers
 * @param engineMessages codec of calls about engine memory
 * @param log event log
 * @param metrics counters
 * @param clock monotonic clock of this host
 * @param random source of uniform numbers from 0 to 1
 */
public record RelayContext(
        BackendRegistry registry,
        SharedRetryBudget budget,
        DemandMeter demand,
        Table<ReturningCallers> returningClients,
        BackendConnections connections,
        BackendPermits permits,
        ByteAccount bytes,
        CrashDetector crashes,
        RequestQuarantine quarantine,
        PartTracker parts,
        ListingAge listing,
        StreamMemory streams,
        ReachabilityMonitor reachability,
        HelperDirectory helpers,
        BackendCalls calls,
        SilentServerCheck silenceChecks,
        BackendMessages backendMessages,
        EngineMessages engineMessages,
        RelayEventLog log,
        RelayMetrics metrics,
        Clock clock,
        DoubleSupplier random) {}
