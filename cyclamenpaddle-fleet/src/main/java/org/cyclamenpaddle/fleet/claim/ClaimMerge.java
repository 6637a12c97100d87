package org.cyclamenpaddle.fleet.claim;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.cyclamenpaddle.core.invariant.Invariants;

/** Merges the intents of one host into a shard's document. */
final class ClaimMerge {

    /** How far the wall clocks of two hosts may differ without a claim being dropped early. */
    private static final long CLOCK_TOLERANCE_MILLIS = TimeUnit.HOURS.toMillis(1);

    private final ClaimShardSettings mSettings;
    private final ClaimCodec mCodec;
    private final boolean mWriteMayLand;
    private final Map<ClaimKey, ClaimRecord> mClaims;
    private final List<ClaimIntent> mWritten = new ArrayList<>();
    private final List<ClaimIntent> mKept = new ArrayList<>();
    private final List<ClaimIntent> mTooMany = new ArrayList<>();
    private final Map<ClaimIntent, ClaimRecord> mTaken = new LinkedHashMap<>();
    private int mCharacters;

    /**
     * Merges.
     *
     * @param base the document to start from
     * @param intents what this host wants
     * @param writeMayLand whether an earlier write on the same base may still take effect
     * @param nowEpochMillis wall-clock time, for retention alone
     */
    ClaimMerge(
            ClaimShardSettings settings,
            ClaimCodec codec,
            ClaimDocument base,
            Collection<ClaimIntent> intents,
            boolean writeMayLand,
            long nowEpochMillis) {
        mSettings = settings;
        mCodec = codec;
        mWriteMayLand = writeMayLand;
        mClaims = new LinkedHashMap<>(base.claims());
        long oldest = nowEpochMillis - settings.retentionMillis() - CLOCK_TOLERANCE_MILLIS;
        mClaims.values().removeIf(claim -> claim.claimedEpochMillis() < oldest);
        mCharacters = codec.encode(new ClaimDocument(mClaims)).length();
        intents.forEach(this::merge);
    }

    /** Returns whether the merged document differs by an intent from the base. */
    boolean changes() {
        return !mWritten.isEmpty();
    }

    ClaimDocument document() {
        return new ClaimDocument(mClaims);
    }

    /** Returns the intents that the merged document carries and the base does not. */
    List<ClaimIntent> written() {
        return mWritten;
    }

    /** Returns the intents that the base carries already, or that have become pointless. */
    List<ClaimIntent> kept() {
        return mKept;
    }

    /** Returns the claims for which the shard has no room. */
    List<ClaimIntent> tooMany() {
        return mTooMany;
    }

    /** Returns the claims whose key another attempt holds, with its claim. */
    Map<ClaimIntent, ClaimRecord> taken() {
        return mTaken;
    }

    private void merge(ClaimIntent intent) {
        Optional<ClaimRecord> existing = Optional.ofNullable(mClaims.get(intent.claim().key()));
        boolean mine = existing.filter(intent.claim()::sameAttempt).isPresent();
        if (intent.makesClaim()) {
            mergeClaim(intent, existing, mine);
        } else {
            mergeOutcome(intent, existing, mine);
        }
    }

    private void mergeClaim(ClaimIntent intent, Optional<ClaimRecord> existing, boolean mine) {
        if (mine) {
            mKept.add(intent);
        } else if (!free(existing)) {
            mTaken.put(intent, existing.get());
        } else if (mCharacters + mCodec.length(intent.claim()) > mSettings.maxCharacters()) {
            mTooMany.add(intent);
        } else {
            put(intent, existing);
        }
    }

    private void mergeOutcome(ClaimIntent intent, Optional<ClaimRecord> existing, boolean mine) {
        if (mine && existing.get().state() == intent.target()) {
            mKept.add(intent);
        } else if (mine) {
            Invariants.require(
                    existing.get().state().canTransitionTo(intent.target()),
                    () -> existing.get() + " must not become " + intent.target());
            put(intent, existing);
        } else if (mWriteMayLand && intent.sent() && free(existing)) {
            // The claim itself may still arrive by the write whose answer was lost, and nobody
            // would then free the key. A write on the same base, whichever lands first, makes the
            // other one fail.
            put(intent, existing);
        } else {
            mKept.add(intent);
        }
    }

    private void put(ClaimIntent intent, Optional<ClaimRecord> replaced) {
        ClaimRecord claim = intent.claim().withState(intent.target());
        replaced.ifPresent(this::remove);
        mClaims.put(claim.key(), claim);
        mCharacters += mCodec.length(claim);
        mWritten.add(intent);
    }

    private void remove(ClaimRecord claim) {
        mClaims.remove(claim.key());
        mCharacters -= mCodec.length(claim);
    }

    private static boolean free(Optional<ClaimRecord> existing) {
        return existing.map(claim -> claim.state().releasesKey()).orElse(true);
    }
}
