package org.cyclamenpaddle.fleet.claim;

import java.util.regex.Pattern;
import org.cyclamenpaddle.core.id.AttemptId;

/**
 * One claim as the platform keeps it.
 *
 * @param key what is claimed
 * @param fingerprint hash of the request, lower-case hex; a resend has the same
 * @param attempt the attempt that holds the claim, which names its host's incarnation
 * @param state what is known of the call
 * @param claimedEpochMillis wall-clock time of the claim; used for retention alone
 */
public record ClaimRecord(
        ClaimKey key,
        String fingerprint,
        AttemptId attempt,
        ClaimState state,
        long claimedEpochMillis) {

    private static final Pattern HEX = Pattern.compile("[0-9a-f]{1,64}");

    public ClaimRecord {
        if (key == null || attempt == null || state == null) {
            throw new IllegalArgumentException("claim lacks key, attempt or state: " + key);
        }
        if (fingerprint == null || !HEX.matcher(fingerprint).matches()) {
            throw new IllegalArgumentException("fingerprint '" + fingerprint + "' must be hex");
        }
        if (claimedEpochMillis < 0) {
            throw new IllegalArgumentException(
                    "claim time " + claimedEpochMillis + " must not be negative");
        }
    }

    /** Returns this claim in another state. */
    public ClaimRecord withState(ClaimState newState) {
        return new ClaimRecord(key, fingerprint, attempt, newState, claimedEpochMillis);
    }

    /** Returns whether {@code other} stands for the very same attempt. */
    public boolean sameAttempt(ClaimRecord other) {
        return attempt.equals(other.attempt);
    }
}
