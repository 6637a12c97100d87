package org.cyclamenpaddle.peer.codec;

import java.io.IOException;
import java.util.Optional;
import org.cyclamenpaddle.core.config.BackendRole;
import org.cyclamenpaddle.core.config.ConfigurationObject;
import org.cyclamenpaddle.core.config.ObjectKey;
import org.cyclamenpaddle.core.id.AttemptId;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.id.SoftwareVersion;
import org.cyclamenpaddle.core.id.StreamKey;
import org.cyclamenpaddle.core.id.TeamName;
import org.cyclamenpaddle.core.message.ClaimResponse;
import org.cyclamenpaddle.core.message.GrantRequest;
import org.cyclamenpaddle.core.message.LedgerSummary;
import org.cyclamenpaddle.core.message.LostRun;
import org.cyclamenpaddle.core.message.QuotaRequest;
import org.cyclamenpaddle.core.message.QuotaResponse;
import org.cyclamenpaddle.core.message.StreamBeginning;

/** Reads and writes the records that are nested in messages. */
final class NestedFields {

    private NestedFields() {}

    static void writeLostRun(FieldWriter out, LostRun m) throws IOException {
        out.number(m.request());
        out.list(m.parts(), out::number);
    }

    static LostRun readLostRun(FieldReader in) throws IOException {
        return new LostRun(in.number(), in.list(in::number));
    }

    static void writeGrantRequest(FieldWriter out, GrantRequest m) throws IOException {
        out.text(m.attempt().value());
        out.text(m.backend().value());
        out.constant(m.role());
        out.number(m.tokens());
        out.number(m.pieces());
        out.number(m.transferBytes());
        out.number(m.neededInMillis());
        out.number(m.latestInMillis());
        out.number(m.holdMillis());
    }

    static GrantRequest readGrantRequest(FieldReader in) throws IOException {
        return new GrantRequest(
                new AttemptId(in.text()),
                new BackendId(in.text()),
                in.constant(BackendRole.values()),
                in.integer(),
                in.integer(),
                in.number(),
                in.number(),
                in.number(),
                in.number());
    }

    static void writeLedger(FieldWriter out, LedgerSummary m) throws IOException {
        out.text(m.backend().value());
        out.number(m.freeInMillis());
        out.number(m.freeSlots());
        out.number(m.freePieces());
        out.flag(m.reachable());
    }

    static LedgerSummary readLedger(FieldReader in) throws IOException {
        return new LedgerSummary(
                new BackendId(in.text()), in.number(), in.integer(), in.integer(), in.flag());
    }

    static void writeObject(FieldWriter out, ConfigurationObject m) throws IOException {
        out.text(m.key().path());
        out.number(m.version());
        out.optional(m.document(), out::text);
    }

    static ConfigurationObject readObject(FieldReader in) throws IOException {
        String path = in.text();
        Optional<ObjectKey> key = ObjectKey.fromPath(path);
        if (key.isEmpty()) {
            throw new IllegalArgumentException(
                    "expected the path of a configuration object, got '" + path + "'");
        }
        return new ConfigurationObject(key.get(), in.number(), in.optional(in::document));
    }

    static void writeStoredResponse(FieldWriter out, ClaimResponse.StoredResponse m)
            throws IOException {
        out.number(m.status());
        out.text(m.contentType());
        out.text(m.body());
    }

    static ClaimResponse.StoredResponse readStoredResponse(FieldReader in) throws IOException {
        return new ClaimResponse.StoredResponse(in.integer(), in.text(), in.document());
    }

    static void writeQuotaRequest(FieldWriter out, QuotaRequest m) throws IOException {
        out.number(m.shard());
        out.number(m.entitledMillis());
        out.number(m.sinceOtherOwnerMillis());
        out.number(m.sinceOtherPrimaryMillis());
        out.list(m.teams(), use -> writeTeamUse(out, use));
    }

    static QuotaRequest readQuotaRequest(FieldReader in) throws IOException {
        return new QuotaRequest(
                in.integer(),
                in.number(),
                in.number(),
                in.number(),
                in.list(() -> readTeamUse(in)));
    }

    private static void writeTeamUse(FieldWriter out, QuotaRequest.TeamUse m) throws IOException {
        out.text(m.team().value());
        out.number(m.neededUnits());
        out.number(m.firstUnits());
        out.number(m.advanceUnits());
        out.number(m.heldUnits());
        out.number(m.returnedUnits());
        out.number(m.elsewhereUnits());
        out.number(m.usePerSecond());
        out.number(m.entitledPerSecond());
    }

    private static QuotaRequest.TeamUse readTeamUse(FieldReader in) throws IOException {
        return new QuotaRequest.TeamUse(
                new TeamName(in.text()),
                in.number(),
                in.number(),
                in.number(),
                in.number(),
                in.number(),
                in.number(),
                in.number(),
                in.number());
    }

    static void writeQuotaGrant(FieldWriter out, QuotaResponse.Grant m) throws IOException {
        out.text(m.team().value());
        out.number(m.units());
        out.number(m.retryMillis());
    }

    static QuotaResponse.Grant readQuotaGrant(FieldReader in) throws IOException {
        return new QuotaResponse.Grant(new TeamName(in.text()), in.number(), in.number());
    }

    static void writeBeginning(FieldWriter out, StreamBeginning begun) throws IOException {
        out.number(begun.stream().hash());
        out.text(begun.version().value());
        out.number(begun.remainingMillis());
    }

    static StreamBeginning readBeginning(FieldReader in) throws IOException {
        return new StreamBeginning(
                new StreamKey(in.number()), new SoftwareVersion(in.text()), in.number());
    }
}
