package org.cyclamenpaddle.peer.codec;

import java.io.IOException;
import java.util.Arrays;
import java.util.Optional;
import org.cyclamenpaddle.core.id.AttemptId;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.id.ServiceName;
import org.cyclamenpaddle.core.id.SoftwareVersion;
import org.cyclamenpaddle.core.id.StreamKey;
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
import org.cyclamenpaddle.core.message.StreamNotice;
import org.cyclamenpaddle.core.message.StreamNoticeResponse;
import org.cyclamenpaddle.core.message.StreamRequest;
import org.cyclamenpaddle.core.message.StreamResponse;
import org.cyclamenpaddle.core.message.StrikeNotice;

/** Message types of the peer protocol, each with its type number and the encoding of its fields. */
enum MessageType {
    HELLO(1, Hello.class, (out, m) -> out.host(m.sender()), in -> new Hello(in.host())),
    HEARTBEAT(2, Heartbeat.class, MessageType::writeHeartbeat, MessageType::readHeartbeat),
    PROBE_REQUEST(
            3,
            ProbeRequest.class,
            (out, m) -> out.host(m.target()),
            in -> new ProbeRequest(in.host())),
    PROBE_RESPONSE(
            4,
            ProbeResponse.class,
            (out, m) -> {
                out.incarnation(m.target());
                out.flag(m.reachable());
            },
            in -> new ProbeResponse(in.incarnation(), in.flag())),
    GRANT_REQUEST(
            5, GrantRequest.class, NestedFields::writeGrantRequest, NestedFields::readGrantRequest),
    GRANT_RESPONSE(
            6,
            GrantResponse.class,
            MessageType::writeGrantResponse,
            MessageType::readGrantResponse),
    GRANT_RELEASE(
            7,
            GrantRelease.class,
            (out, m) -> {
                out.text(m.attempt().value());
                out.text(m.backend().value());
            },
            in -> new GrantRelease(new AttemptId(in.text()), new BackendId(in.text()))),
    GRANT_REGISTER(
            8,
            GrantRegister.class,
            (out, m) -> out.list(m.held(), request -> NestedFields.writeGrantRequest(out, request)),
            in -> new GrantRegister(in.list(() -> NestedFields.readGrantRequest(in)))),
    CONFIGURATION_REQUEST(
            9,
            ConfigurationRequest.class,
            (out, m) -> out.versions(m.knownVersions()),
            in -> new ConfigurationRequest(in.versions())),
    CONFIGURATION_RESPONSE(
            10,
            ConfigurationResponse.class,
            (out, m) -> out.list(m.objects(), object -> NestedFields.writeObject(out, object)),
            in -> new ConfigurationResponse(in.list(() -> NestedFields.readObject(in)))),
    CLAIM_REQUEST(
            11,
            ClaimRequest.class,
            (out, m) -> {
                out.text(m.service().value());
                out.text(m.key());
            },
            in -> new ClaimRequest(new ServiceName(in.text()), in.text())),
    CLAIM_RESPONSE(
            12,
            ClaimResponse.class,
            (out, m) -> {
                out.constant(m.state());
                out.optional(
                        m.response(), response -> NestedFields.writeStoredResponse(out, response));
            },
            in ->
                    new ClaimResponse(
                            in.constant(ClaimResponse.State.values()),
                            in.optional(() -> NestedFields.readStoredResponse(in)))),
    STRIKE_NOTICE(
            13,
            StrikeNotice.class,
            (out, m) -> {
                out.number(m.fingerprint());
                out.list(m.crashedBackends(), backend -> out.text(backend.value()));
                out.number(m.remainingMillis());
            },
            in ->
                    new StrikeNotice(
                            in.number(), in.set(() -> new BackendId(in.text())), in.number())),
    QUOTA_REQUEST(
            14,
            QuotaRequest.class,
            NestedFields::writeQuotaRequest,
            NestedFields::readQuotaRequest),
    QUOTA_RESPONSE(
            15,
            QuotaResponse.class,
            (out, m) -> {
                out.flag(m.primary());
                out.list(m.grants(), grant -> NestedFields.writeQuotaGrant(out, grant));
            },
            in -> new QuotaResponse(in.flag(), in.list(() -> NestedFields.readQuotaGrant(in)))),
    PERMIT_REQUEST(
            16,
            PermitRequest.class,
            (out, m) -> {
                out.text(m.backend().value());
                out.number(m.startedMillis());
                out.number(m.limitMillihertz());
                out.number(m.calls());
            },
            in ->
                    new PermitRequest(
                            new BackendId(in.text()), in.number(), in.number(), in.integer())),
    PERMIT_RESPONSE(
            17,
            PermitResponse.class,
            (out, m) -> {
                out.flag(m.granted());
                out.number(m.retryMillis());
            },
            in -> new PermitResponse(in.flag(), in.number())),
    STREAM_NOTICE(
            18,
            StreamNotice.class,
            (out, m) -> out.list(m.beginnings(), begun -> NestedFields.writeBeginning(out, begun)),
            in -> new StreamNotice(in.list(() -> NestedFields.readBeginning(in)))),
    STREAM_REQUEST(
            19,
            StreamRequest.class,
            (out, m) -> out.number(m.stream().hash()),
            in -> new StreamRequest(new StreamKey(in.number()))),
    STREAM_RESPONSE(
            20,
            StreamResponse.class,
            (out, m) -> out.optional(m.version(), version -> out.text(version.value())),
            in -> new StreamResponse(in.optional(() -> new SoftwareVersion(in.text())))),
    PART_STRIKE_NOTICE(
            21,
            PartStrikeNotice.class,
            (out, m) -> {
                out.text(m.service().value());
                out.text(m.server().value());
                out.list(m.lost(), run -> NestedFields.writeLostRun(out, run));
            },
            in ->
                    new PartStrikeNotice(
                            new ServiceName(in.text()),
                            new BackendId(in.text()),
                            in.list(() -> NestedFields.readLostRun(in)))),
    PART_RUN_NOTICE(
            22,
            PartRunNotice.class,
            (out, m) -> {
                out.text(m.service().value());
                out.number(m.runs());
                out.list(m.parts(), out::number);
            },
            in -> new PartRunNotice(new ServiceName(in.text()), in.integer(), in.set(in::number))),
    PART_TRACKING_NOTICE(
            23,
            PartTrackingNotice.class,
            (out, m) -> {
                out.text(m.service().value());
                out.number(m.remainingMillis());
                out.list(m.suspects(), out::number);
            },
            in ->
                    new PartTrackingNotice(
                            new ServiceName(in.text()), in.number(), in.set(in::number))),
    PART_QUARANTINE_NOTICE(
            24,
            PartQuarantineNotice.class,
            (out, m) -> {
                out.text(m.service().value());
                out.number(m.part());
                out.list(m.servers(), server -> out.text(server.value()));
                out.number(m.agoMillis());
                out.number(m.remainingMillis());
            },
            in ->
                    new PartQuarantineNotice(
                            new ServiceName(in.text()),
                            in.number(),
                            in.set(() -> new BackendId(in.text())),
                            in.number(),
                            in.number())),
    STORE_ANSWER_REQUEST(
            25,
            StoreAnswerRequest.class,
            (out, m) -> {
                out.number(m.fromMillis());
                out.number(m.toMillis());
            },
            in -> new StoreAnswerRequest(in.number(), in.number())),
    STORE_ANSWER_RESPONSE(
            26,
            StoreAnswerResponse.class,
            (out, m) -> out.flag(m.answered()),
            in -> new StoreAnswerResponse(in.flag())),
    STREAM_NOTICE_RESPONSE(
            27,
            StreamNoticeResponse.class,
            (out, m) -> out.number(m.incarnation()),
            in -> new StreamNoticeResponse(in.number()));

    private final int mCode;
    private final Class<? extends PeerMessage> mType;
    private final FieldsWriter<PeerMessage> mWriter;
    private final FieldsReader<? extends PeerMessage> mReader;

    /** Writes the fields of a message. */
    @FunctionalInterface
    interface FieldsWriter<M> {
        void write(FieldWriter out, M message) throws IOException;
    }

    /** Reads the fields of a message. */
    @FunctionalInterface
    interface FieldsReader<M> {
        M read(FieldReader in) throws IOException;
    }

    <M extends PeerMessage> MessageType(
            int code, Class<M> type, FieldsWriter<M> writer, FieldsReader<M> reader) {
        mCode = code;
        mType = type;
        mWriter = (out, message) -> writer.write(out, type.cast(message));
        mReader = reader;
    }

    static Optional<MessageType> of(int code) {
        return Arrays.stream(values()).filter(type -> type.mCode == code).findFirst();
    }

    static MessageType of(PeerMessage message) {
        return Arrays.stream(values())
                .filter(type -> type.mType.isInstance(message))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("no message type for " + message));
    }

    int code() {
        return mCode;
    }

    void write(FieldWriter out, PeerMessage message) throws IOException {
        mWriter.write(out, message);
    }

    PeerMessage read(FieldReader in) throws IOException {
        return mReader.read(in);
    }

    private static void writeHeartbeat(FieldWriter out, Heartbeat m) throws IOException {
        out.host(m.sender());
        out.number(m.sequence());
        out.number(m.configurationDigest());
        out.number(m.inForceVersion());
        out.list(m.hosts(), out::host);
        out.list(m.ledgers(), ledger -> NestedFields.writeLedger(out, ledger));
    }

    private static Heartbeat readHeartbeat(FieldReader in) throws IOException {
        return new Heartbeat(
                in.host(),
                in.number(),
                in.number(),
                in.number(),
                in.list(in::host),
                in.list(() -> NestedFields.readLedger(in)));
    }

    private static void writeGrantResponse(FieldWriter out, GrantResponse m) throws IOException {
        out.text(m.attempt().value());
        out.text(m.backend().value());
        out.constant(m.decision());
        out.number(m.startInMillis());
        out.number(m.endInMillis());
    }

    private static GrantResponse readGrantResponse(FieldReader in) throws IOException {
        return new GrantResponse(
                new AttemptId(in.text()),
                new BackendId(in.text()),
                in.constant(GrantDecision.values()),
                in.number(),
                in.number());
    }
}
