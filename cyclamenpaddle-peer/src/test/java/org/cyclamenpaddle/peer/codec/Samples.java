package org.cyclamenpaddle.peer.codec;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cyclamenpaddle.core.config.BackendRole;
import org.cyclamenpaddle.core.config.ConfigurationObject;
import org.cyclamenpaddle.core.config.ObjectKey;
import org.cyclamenpaddle.core.id.AttemptId;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.id.FailureDomain;
import org.cyclamenpaddle.core.id.HostId;
import org.cyclamenpaddle.core.id.Incarnation;
import org.cyclamenpaddle.core.id.ServiceName;
import org.cyclamenpaddle.core.message.ClaimAnswer;
import org.cyclamenpaddle.core.message.ClaimAsk;
import org.cyclamenpaddle.core.message.ConfigurationAnswer;
import org.cyclamenpaddle.core.message.ConfigurationAsk;
import org.cyclamenpaddle.core.message.GrantAnswer;
import org.cyclamenpaddle.core.message.GrantAsk;
import org.cyclamenpaddle.core.message.GrantDecision;
import org.cyclamenpaddle.core.message.GrantEnd;
import org.cyclamenpaddle.core.message.GrantRegister;
import org.cyclamenpaddle.core.message.Heartbeat;
import org.cyclamenpaddle.core.message.Hello;
import org.cyclamenpaddle.core.message.HostRecord;
import org.cyclamenpaddle.core.message.HostState;
import org.cyclamenpaddle.core.message.LedgerSummary;
import org.cyclamenpaddle.core.message.PeerMessage;
import org.cyclamenpaddle.core.message.ProbeAnswer;
import org.cyclamenpaddle.core.message.ProbeAsk;
import org.cyclamenpaddle.core.message.StrikeNotice;

/** At least one message of each type. */
final class Samples {

    private static final Incarnation LIFE =
            new Incarnation(new HostId("ahm-1"), 1_764_720_000_000L);
    private static final HostRecord HOST =
            new HostRecord(
                    LIFE, new FailureDomain("ahm"), "10.20.30.40", 7_400, 8_080, HostState.SUSPECT);
    private static final AttemptId ATTEMPT = AttemptId.of(LIFE, 7);
    private static final BackendId BACKEND = new BackendId("runner-ahm-12");
    private static final GrantAsk ASK =
            new GrantAsk(ATTEMPT, BACKEND, BackendRole.DECODE, 40, 3, 1L << 33, 120, 580, 4_400);

    static final List<PeerMessage> ALL =
            List.of(
                    new Hello(HOST),
                    new Heartbeat(
                            HOST,
                            12,
                            -5,
                            99,
                            List.of(HOST, HOST.in(HostState.LEAVING)),
                            List.of(new LedgerSummary(BACKEND, -3, 2, 40, true))),
                    new ProbeAsk(HOST),
                    new ProbeAnswer(LIFE, true),
                    ASK,
                    new GrantAnswer(ATTEMPT, BACKEND, GrantDecision.TOO_LATE, 10, 20),
                    new GrantEnd(ATTEMPT, BACKEND),
                    new GrantRegister(List.of(ASK, ASK)),
                    new ConfigurationAsk(
                            Map.of("config/preset/peak", 7L, "config/x", Long.MAX_VALUE)),
                    new ConfigurationAnswer(
                            List.of(
                                    new ConfigurationObject(
                                            ObjectKey.inForce(), 8, Optional.of("{\"é\":1}")),
                                    new ConfigurationObject(
                                            ObjectKey.inForce(), 9, Optional.empty()))),
                    new ClaimAsk(new ServiceName("spot-book"), "key 1"),
                    new ClaimAnswer(ClaimAnswer.State.RUNNING, Optional.empty()),
                    new ClaimAnswer(
                            ClaimAnswer.State.RAN,
                            Optional.of(new ClaimAnswer.KeptAnswer(200, "text/plain", "booked"))),
                    new StrikeNotice(Long.MIN_VALUE, Set.of(BACKEND), 600_000));

    private Samples() {}
}
