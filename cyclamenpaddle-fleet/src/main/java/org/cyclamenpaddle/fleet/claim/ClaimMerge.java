package org.cyclamenpaddle.fleet.claim;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.cyclamenpaddle.core.invariant.Invariants;

/** Merges the pending changes of one host into a shard's document. */
final class ClaimMerge {

    /**
     * Maximum difference between the wall clocks of two hosts at which no claim is removed early.
     */
    private static final long CLOCK_TOLERANCE_MILLIS = TimeUnit.HOURS.toMillis(1);

    private final ClaimShardSettings mSettings;
    private final ClaimCodec mCodec;
    private final boolean mWriteMayApply;
    private final Map<ClaimKey, ClaimRecord> mClaims;
    private final List<ClaimIntent> mWritten = new ArrayList<>();
    private final List<ClaimIntent> mAlreadyStored = new ArrayList<>();
    private final List<ClaimIntent> mOverCapacity = new ArrayList<>();
    private final Map<ClaimIntent, ClaimRecord> mConflicts = new LinkedHashMap<>();
    private int mCharacters;

    /**
     * Performs the merge.
     *
     * @param base the stored document
     * @param intents the pending changes of this host
     * @param writeMayApply whether an earlier write on the same base may still take effect
     * @param nowEpochMillis wall-clock time, used only for retention
     */
    ClaimMerge(
            ClaimShardSettings settings,
            ClaimCodec codec,
            ClaimDocument base,
            Collection<ClaimIntent> intents,
            boolean writeMayApply,
            long nowEpochMillis) {
        mSettings = settings;
        mCodec = codec;
        mWriteMayApply = writeMayApply;
        mClaims = new LinkedHashMap<>(base.claims());
        long oldest = nowEpochMillis - settings.retentionMillis() - CLOCK_TOLERANCE_MILLIS;
        mClaims.values().removeIf(claim -> claim.claimedEpochMillis() < oldest);
        mCharacters = codec.encode(new ClaimDocument(mClaims)).length();
        intents.forEach(this::merge);
    }

    /** Returns whether the merged document contains changes that the base lacks. */
    boolean hasChanges() {
        return !mWritten.isEmpty();
    }

    ClaimDocument document() {
        return new ClaimDocument(mClaims);
    }

    /** Returns the intents that the merged document contains and the base lacks. */
    List<ClaimIntent> written() {
        return mWritten;
    }

    /** Returns the intents that the base already contains, or that are obsolete. */
    List<ClaimIntent> alreadyStored() {
        return mAlreadyStored;
    }

    /** Returns the claims that exceed the capacity of the shard. */
    List<ClaimIntent> overCapacity() {
        return mOverCapacity;
    }

    /** Returns the claims whose key is held by another attempt, each with that attempt's claim. */
    Map<ClaimIntent, ClaimRecord> conflicts() {
        return mConflicts;
    }

    private void merge(ClaimIntent intent) {
        Optional<ClaimRecord> existing = Optional.ofNullable(mClaims.get(intent.claim().key()));
        boolean ownClaim = existing.filter(intent.claim()::sameAttempt).isPresent();
        if (intent.makesClaim()) {
            mergeClaim(intent, existing, ownClaim);
        } else {
            mergeOutcome(intent, existing, ownClaim);
        }
    }

    private void mergeClaim(ClaimIntent intent, Optional<ClaimRecord> existing, boolean ownClaim) {
        if (ownClaim) {
            mAlreadyStored.add(intent);
        } else if (!isFree(existing)) {
            mConflicts.put(intent, existing.get());
        } else if (mCharacters + mCodec.length(intent.claim()) > mSettings.maxCharacters()) {
            mOverCapacity.add(intent);
        } else {
            put(intent, existing);
        }
    }

    private void mergeOutcome(
            ClaimIntent intent, Optional<ClaimRecord> existing, boolean ownClaim) {
        if (ownClaim && existing.get().state() == intent.target()) {
            mAlreadyStored.add(intent);
        } else if (ownClaim) {
            Invariants.require(
                    existing.get().state().canTransitionTo(intent.target()),
                    () -> existing.get() + " must not change to " + intent.target());
            put(intent, existing);
        } else if (mWriteMayApply && intent.sent() && isFree(existing)) {
            // The write whose response was lost may still store the claim, and no host would then
            // release the key. Of two conditional writes on the same base only the first to arrive
            // succeeds.
            put(intent, existing);
        } else {
            mAlreadyStored.add(intent);
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

    private static boolean isFree(Optional<ClaimRecord> existing) {
        return existing.map(claim -> claim.state().releasesKey()).orElse(true);
    }
}
