package org.cyclamenpaddle.peer.codec;

import java.io.IOException;
import java.util.Arrays;
import java.util.Optional;
import org.cyclamenpaddle.core.id.AttemptId;
import org.cyclamenpaddle.core.id.BackendId;
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
import org.cyclamenpaddle.core.message.PeerMessage;
import org.cyclamenpaddle.core.message.ProbeAnswer;
import org.cyclamenpaddle.core.message.ProbeAsk;
import org.cyclamenpaddle.core.message.StrikeNotice;

/** The messages of the peer protocol, each with its type number and its fields. */
enum MessageType {
    HELLO(1, Hello.class, (out, m) -> out.host(m.sender()), in -> new Hello(in.host())),
    HEARTBEAT(2, Heartbeat.class, MessageType::writeHeartbeat, MessageType::readHeartbeat),
    PROBE_ASK(3, ProbeAsk.class, (out, m) -> out.host(m.target()), in -> new ProbeAsk(in.host())),
    PROBE_ANSWER(
            4,
            ProbeAnswer.class,
            (out, m) -> {
                out.incarnation(m.target());
                out.flag(m.reachable());
            },
            in -> new ProbeAnswer(in.incarnation(), in.flag())),
    GRANT_ASK(5, GrantAsk.class, NestedFields::writeGrantAsk, NestedFields::readGrantAsk),
    GRANT_ANSWER(6, GrantAnswer.class, MessageType::writeGrantAnswer, MessageType::readGrantAnswer),
    GRANT_END(
            7,
            GrantEnd.class,
            (out, m) -> {
                out.text(m.attempt().value());
                out.text(m.backend().value());
            },
            in -> new GrantEnd(new AttemptId(in.text()), new BackendId(in.text()))),
    GRANT_REGISTER(
            8,
            GrantRegister.class,
            (out, m) -> out.list(m.held(), ask -> NestedFields.writeGrantAsk(out, ask)),
            in -> new GrantRegister(in.list(() -> NestedFields.readGrantAsk(in)))),
    CONFIGURATION_ASK(
            9,
            ConfigurationAsk.class,
            (out, m) -> out.versions(m.known()),
            in -> new ConfigurationAsk(in.versions())),
    CONFIGURATION_ANSWER(
            10,
            ConfigurationAnswer.class,
            (out, m) -> out.list(m.objects(), object -> NestedFields.writeObject(out, object)),
            in -> new ConfigurationAnswer(in.list(() -> NestedFields.readObject(in)))),
    CLAIM_ASK(
            11,
            ClaimAsk.class,
            (out, m) -> {
                out.text(m.service().value());
                out.text(m.key());
            },
            in -> new ClaimAsk(new ServiceName(in.text()), in.text())),
    CLAIM_ANSWER(
            12,
            ClaimAnswer.class,
            (out, m) -> {
                out.constant(m.state());
                out.optional(m.answer(), answer -> NestedFields.writeKeptAnswer(out, answer));
            },
            in ->
                    new ClaimAnswer(
                            in.constant(ClaimAnswer.State.values()),
                            in.optional(() -> NestedFields.readKeptAnswer(in)))),
    STRIKE_NOTICE(
            13,
            StrikeNotice.class,
            (out, m) -> {
                out.number(m.fingerprint());
                out.list(m.struck(), backend -> out.text(backend.value()));
                out.number(m.remainingMillis());
            },
            in ->
                    new StrikeNotice(
                            in.number(), in.set(() -> new BackendId(in.text())), in.number()));

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
                .orElseThrow(() -> new IllegalArgumentException("no type for " + message));
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

    private static void writeGrantAnswer(FieldWriter out, GrantAnswer m) throws IOException {
        out.text(m.attempt().value());
        out.text(m.backend().value());
        out.constant(m.decision());
        out.number(m.startInMillis());
        out.number(m.endInMillis());
    }

    private static GrantAnswer readGrantAnswer(FieldReader in) throws IOException {
        return new GrantAnswer(
                new AttemptId(in.text()),
                new BackendId(in.text()),
                in.constant(GrantDecision.values()),
                in.number(),
                in.number());
    }
}
