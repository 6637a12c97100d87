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
import org.cyclamenpaddle.core.id.SoftwareVersion;
import org.cyclamenpaddle.core.id.StreamKey;
import org.cyclamenpaddle.core.id.TeamName;
import org.cyclamenpaddle.core.message.ClaimRequest;
import org.cyclamenpaddle.core.message.ClaimResponse;
import org.cyclamenpaddle.core.message.ConfigurationRequest;
import org.cyclamenpaddle.core.message.ConfigurationResponse;
import org.cyclamenpaddle.core.message.GrantDecision;
import org.cyclamenpaddle.core.message.GrantRegister;
import org.cyclamenpaddle.core.message.GrantRelease;
import org.cyclamenpaddle.core.message.GrantRequest;
import org.cyclamenpaddle.core.message.GrantResponse;
import org.cyclamenpaddle.core.message.Heartbeat;
import org.cyclamenpaddle.core.message.Hello;
import org.cyclamenpaddle.core.message.HostRecord;
import org.cyclamenpaddle.core.message.HostState;
import org.cyclamenpaddle.core.message.LedgerSummary;
import org.cyclamenpaddle.core.message.LostRun;
import org.cyclamenpaddle.core.message.PartQuarantineNotice;
import org.cyclamenpaddle.core.message.PartRunNotice;
import org.cyclamenpaddle.core.message.PartStrikeNotice;
import org.cyclamenpaddle.core.message.PartTrackingNotice;
import org.cyclamenpaddle.core.message.PeerMessage;
import org.cyclamenpaddle.core.message.PermitRequest;
import org.cyclamenpaddle.core.message.PermitResponse;
import org.cyclamenpaddle.core.message.ProbeRequest;
import org.cyclamenpaddle.core.message.ProbeResponse;
import org.cyclamenpaddle.core.message.QuotaRequest;
import org.cyclamenpaddle.core.message.QuotaResponse;
import org.cyclamenpaddle.core.message.StoreAnswerRequest;
import org.cyclamenpaddle.core.message.StoreAnswerResponse;
import org.cyclamenpaddle.core.message.StreamBeginning;
import org.cyclamenpaddle.core.message.StreamNotice;
import org.cyclamenpaddle.core.message.StreamNoticeResponse;
import org.cyclamenpaddle.core.message.StreamRequest;
import org.cyclamenpaddle.core.message.StreamResponse;
import org.cyclamenpaddle.core.message.StrikeNotice;

/** Sample messages, at least one of each type. */
final class Samples {

    private static final Incarnation INCARNATION =
            new Incarnation(new HostId("ahm-1"), 1_764_720_000_000L);
    private static final HostRecord HOST =
            new HostRecord(
                    INCARNATION,
                    new FailureDomain("ahm"),
                    "10.20.30.40",
                    7_400,
                    8_080,
                    HostState.SUSPECT);
    private static final AttemptId ATTEMPT = AttemptId.of(INCARNATION, 7);
    private static final BackendId BACKEND = new BackendId("runner-ahm-12");
    private static final TeamName TEAM = new TeamName("desk-1");
    private static final GrantRequest GRANT_REQUEST =
            new GrantRequest(
                    ATTEMPT, BACKEND, BackendRole.DECODE, 40, 3, 1L << 33, 120, 580, 4_400);

    static final List<PeerMessage> ALL =
            List.of(
                    new Hello(HOST),
                    new Heartbeat(
                            HOST,
                            12,
                            -5,
                            99,
                            List.of(HOST, HOST.withState(HostState.LEAVING)),
                            List.of(new LedgerSummary(BACKEND, -3, 2, 40, true))),
                    new ProbeRequest(HOST),
                    new ProbeResponse(INCARNATION, true),
                    GRANT_REQUEST,
                    new GrantResponse(ATTEMPT, BACKEND, GrantDecision.TOO_LATE, 10, 20),
                    new GrantRelease(ATTEMPT, BACKEND),
                    new GrantRegister(List.of(GRANT_REQUEST, GRANT_REQUEST)),
                    new ConfigurationRequest(
                            Map.of("config/preset/peak", 7L, "config/x", Long.MAX_VALUE)),
                    new ConfigurationResponse(
                            List.of(
                                    new ConfigurationObject(
                                            ObjectKey.inForce(), 8, Optional.of("{\"é\":1}")),
                                    new ConfigurationObject(
                                            ObjectKey.inForce(), 9, Optional.empty()))),
                    new ClaimRequest(new ServiceName("spot-book"), "key 1"),
                    new ClaimResponse(ClaimResponse.State.RUNNING, Optional.empty()),
                    new ClaimResponse(
                            ClaimResponse.State.RAN,
                            Optional.of(
                                    new ClaimResponse.StoredResponse(200, "text/plain", "booked"))),
                    new StrikeNotice(Long.MIN_VALUE, Set.of(BACKEND), 600_000),
                    new QuotaRequest(
                            3,
                            9_000,
                            400,
                            QuotaRequest.NEVER_MILLIS,
                            List.of(
                                    new QuotaRequest.TeamUse(
                                            TEAM, 5_400, 2_700, 800, 40, 0, 90, 4_000, 3_900))),
                    new QuotaResponse(true, List.of(new QuotaResponse.Grant(TEAM, 6_200, 0))),
                    new PermitRequest(new BackendId("engine-1"), 1_700_000_000_000L, 1_400, 2),
                    new PermitResponse(false, 700),
                    new StreamNotice(
                            List.of(
                                    new StreamBeginning(
                                            new StreamKey(-3), new SoftwareVersion("v1.1"), 9),
                                    new StreamBeginning(
                                            new StreamKey(Long.MAX_VALUE),
                                            SoftwareVersion.UNSPECIFIED,
                                            28_000))),
                    new StreamNoticeResponse(1_700_000_000_000L),
                    new StoreAnswerRequest(6_000, 2_000),
                    new StoreAnswerResponse(true),
                    new StreamRequest(new StreamKey(Long.MIN_VALUE)),
                    new StreamResponse(Optional.of(new SoftwareVersion("v1"))),
                    new StreamResponse(Optional.empty()),
                    new PartStrikeNotice(
                            new ServiceName("read"),
                            BACKEND,
                            List.of(
                                    new LostRun(Long.MIN_VALUE, List.of(3L, -4L)),
                                    new LostRun(5, List.of()))),
                    new PartRunNotice(new ServiceName("read"), 3, Set.of(Long.MAX_VALUE, 0L)),
                    new PartTrackingNotice(new ServiceName("read"), 60_000, Set.of(-1L)),
                    new PartQuarantineNotice(
                            new ServiceName("read"), -7, Set.of(BACKEND), 800, 120_000));

    private Samples() {}
}
