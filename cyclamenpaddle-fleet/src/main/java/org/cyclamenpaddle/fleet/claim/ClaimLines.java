package org.cyclamenpaddle.fleet.claim;

import io.vavr.control.Either;
import io.vavr.control.Try;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.cyclamenpaddle.core.id.AttemptId;
import org.cyclamenpaddle.core.id.ServiceName;

/**
 * Encodes claims as lines of tab-separated ASCII fields.
 *
 * <p>The first line identifies the format. Each further line contains service, key, fingerprint,
 * attempt, state and time of a claim; none of them can contain a tab or a line feed.
 */
public final class ClaimLines implements ClaimCodec {

    private static final String HEADER = "claims 1\n";
    private static final String TAB = "\t";
    private static final int FIELDS = 6;

    @Override
    public String encode(ClaimDocument document) {
        return document.claims().values().stream()
                .map(ClaimLines::line)
                .collect(Collectors.joining("", HEADER, ""));
    }

    @Override
    public int length(ClaimRecord claim) {
        return line(claim).length();
    }

    @Override
    public Either<String, ClaimDocument> decode(String text) {
        if (!text.startsWith(HEADER)) {
            return Either.left("claim document does not start with '" + HEADER.trim() + "'");
        }
        List<String> lines = text.substring(HEADER.length()).lines().collect(Collectors.toList());
        return Try.of(() -> parse(lines))
                .toEither()
                .mapLeft(error -> "claim document is malformed: " + error.getMessage());
    }

    private static ClaimDocument parse(List<String> lines) {
        Map<ClaimKey, ClaimRecord> claims = new LinkedHashMap<>();
        lines.stream().map(ClaimLines::claim).forEach(claim -> claims.put(claim.key(), claim));
        return new ClaimDocument(claims);
    }

    private static ClaimRecord claim(String line) {
        String[] fields = line.split(TAB, -1);
        if (fields.length != FIELDS) {
            throw new IllegalArgumentException(
                    "line has " + fields.length + " fields instead of " + FIELDS);
        }
        ClaimState state =
                ClaimState.fromCode(fields[4])
                        .orElseThrow(
                                () ->
                                        new IllegalArgumentException(
                                                "unknown claim state '" + fields[4] + "'"));
        return new ClaimRecord(
                new ClaimKey(new ServiceName(fields[0]), fields[1]),
                fields[2],
                new AttemptId(fields[3]),
                state,
                Long.parseLong(fields[5]));
    }

    private static String line(ClaimRecord claim) {
        return String.join(
                        TAB,
                        claim.key().service().value(),
                        claim.key().key(),
                        claim.fingerprint(),
                        claim.attempt().value(),
                        claim.state().code(),
                        Long.toString(claim.claimedEpochMillis()))
                + "\n";
    }
}
