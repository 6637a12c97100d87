package org.cyclamenpaddle.fleet.claim;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cyclamenpaddle.core.id.AttemptId;
import org.cyclamenpaddle.core.invariant.Invariants;
import org.cyclamenpaddle.fleet.claim.ClaimShardEffect.ReadShard;
import org.cyclamenpaddle.fleet.claim.ClaimShardEffect.Settled;
import org.cyclamenpaddle.fleet.claim.ClaimShardEffect.WriteShard;

/**
 * Group commit of one host's claims in one shard.
 *
 * <p>At most one call to the platform is in flight; changes requested in the meantime are batched
 * into the next one. Each write is conditional on the version on which it was merged, so hosts that
 * write the same shard never overwrite each other's claims: after a conflict the host merges its
 * changes into the newer document.
 *
 * <p>Not thread-safe. Every event returns the effects to perform, in order. Wall-clock times are
 * used only for retention.
 */
public final class ClaimShard {

    private enum Phase {
        IDLE,
        READING,
        WRITING,
        WAITING
    }

    private record Base(long version, ClaimDocument document) {}

    private final int mNumber;
    private final ClaimShardSettings mSettings;
    private final ClaimCodec mCodec;
    private final Map<AttemptId, ClaimIntent> mPending = new LinkedHashMap<>();
    private Phase mPhase = Phase.IDLE;
    private Optional<Base> mBase = Optional.empty();
    private boolean mBaseFresh;
    private Optional<Long> mUnconfirmedWriteVersion = Optional.empty();
    private Optional<ClaimMerge> mInFlight = Optional.empty();
    private long mRetryAtMillis;
    private Optional<Long> mFlushAtMillis = Optional.empty();
    private boolean mFlushDue;
    private long mNowEpochMillis;

    /**
     * Creates a shard whose stored document has not been read yet.
     *
     * @param number its number, from 0
     * @param settings limits
     * @param codec computes the length of a document
     */
    public ClaimShard(int number, ClaimShardSettings settings, ClaimCodec codec) {
        mNumber = number;
        mSettings = settings;
        mCodec = codec;
    }

    /**
     * Requests a claim.
     *
     * @param claim the claim
     * @param nowEpochMillis wall-clock time
     */
    public List<ClaimShardEffect> claim(ClaimRecord claim, long nowEpochMillis) {
        mNowEpochMillis = nowEpochMillis;
        if (mPhase == Phase.WAITING) {
            return List.of(new Settled(claim, new ClaimResult.Unavailable()));
        }
        mPending.put(claim.attempt(), new ClaimIntent(claim, ClaimState.CLAIMED, false));
        return proceed();
    }

    /**
     * Records the outcome of an attempt of this host.
     *
     * @param claim its claim
     * @param outcome its outcome; {@link ClaimState#NOT_RUN} releases the key
     */
    public List<ClaimShardEffect> outcome(ClaimRecord claim, ClaimState outcome) {
        Optional<ClaimIntent> pending = Optional.ofNullable(mPending.get(claim.attempt()));
        boolean inFlight = mInFlight.filter(merge -> carries(merge, claim.attempt())).isPresent();
        boolean unsent =
                pending.filter(ClaimIntent::makesClaim).isPresent()
                        && !pending.get().sent()
                        && !inFlight;
        if (unsent) {
            mPending.remove(claim.attempt());
            return List.of();
        }
        boolean sent = inFlight || pending.filter(ClaimIntent::sent).isPresent();
        mPending.put(claim.attempt(), new ClaimIntent(claim, outcome, sent));
        return proceed();
    }

    /**
     * Retries after the platform was unavailable, and writes outcomes whose flush delay has
     * elapsed.
     *
     * @param nowMillis reading of this host's clock
     */
    public List<ClaimShardEffect> tick(long nowMillis) {
        if (mPhase == Phase.WAITING && nowMillis >= mRetryAtMillis) {
            mPhase = Phase.IDLE;
        }
        if (mPending.isEmpty()) {
            mFlushAtMillis = Optional.empty();
        } else if (mFlushAtMillis.isEmpty()) {
            mFlushAtMillis = Optional.of(nowMillis + mSettings.flushMillis());
        }
        mFlushDue = mFlushAtMillis.filter(at -> nowMillis >= at).isPresent();
        return proceed();
    }

    /**
     * Processes the stored document of this shard.
     *
     * @param version its version; 0 if there is none
     */
    public List<ClaimShardEffect> onRead(long version, ClaimDocument document) {
        rebase(version, document);
        return proceed();
    }

    /** Processes the success of the write in flight. */
    public List<ClaimShardEffect> onWritten(long version) {
        ClaimMerge written = mInFlight.orElseThrow();
        rebase(version, written.document());
        mBaseFresh = false;
        mFlushDue = false;
        mFlushAtMillis = Optional.empty();
        List<ClaimShardEffect> effects = new ArrayList<>();
        written.written().forEach(intent -> settleStored(intent, effects));
        effects.addAll(proceed());
        return effects;
    }

    /**
     * Processes a conflict: the shard was no longer at the version of the write.
     *
     * @param version its version; 0 if there is none
     */
    public List<ClaimShardEffect> onConflict(long version, ClaimDocument document) {
        return onRead(version, document);
    }

    /** Processes a lost response: the write in flight may or may not have been stored. */
    public List<ClaimShardEffect> onResponseLost() {
        markSent();
        mUnconfirmedWriteVersion = Optional.of(mBase.orElseThrow().version());
        mInFlight = Optional.empty();
        mPhase = Phase.READING;
        return List.of(new ReadShard(mNumber));
    }

    /**
     * Processes a failure of the call in flight, which had no effect because the platform is
     * unavailable.
     *
     * <p>Pending claims are abandoned. Those that an earlier write may have stored are released as
     * soon as the platform is available again.
     *
     * @param nowMillis reading of this host's clock
     */
    public List<ClaimShardEffect> onPlatformUnavailable(long nowMillis) {
        mInFlight = Optional.empty();
        mPhase = Phase.WAITING;
        mRetryAtMillis = nowMillis + mSettings.retryMillis();
        List<ClaimShardEffect> effects = new ArrayList<>();
        for (ClaimIntent intent : List.copyOf(mPending.values())) {
            if (intent.makesClaim()) {
                abandon(intent, effects);
            }
        }
        return effects;
    }

    /** Returns the number of changes that are not yet known to be stored. */
    public int pending() {
        return mPending.size();
    }

    private void rebase(long version, ClaimDocument document) {
        long before = mBase.map(Base::version).orElse(0L);
        Invariants.require(
                version >= before,
                () ->
                        "version of shard "
                                + mNumber
                                + " decreased from "
                                + before
                                + " to "
                                + version);
        mBase = Optional.of(new Base(version, document));
        mBaseFresh = true;
        mInFlight = Optional.empty();
        mPhase = Phase.IDLE;
        if (mUnconfirmedWriteVersion.filter(lost -> lost < version).isPresent()) {
            mUnconfirmedWriteVersion = Optional.empty();
            mPending.replaceAll((attempt, intent) -> withoutPendingSend(intent));
        }
    }

    private static ClaimIntent withoutPendingSend(ClaimIntent intent) {
        return new ClaimIntent(intent.claim(), intent.target(), false);
    }

    private List<ClaimShardEffect> proceed() {
        boolean due = mFlushDue || mPending.values().stream().anyMatch(ClaimIntent::urgent);
        if (mPhase != Phase.IDLE || mPending.isEmpty() || !due) {
            return List.of();
        }
        if (mBase.isEmpty()) {
            return read();
        }
        ClaimMerge merge =
                new ClaimMerge(
                        mSettings,
                        mCodec,
                        mBase.get().document(),
                        mPending.values(),
                        mUnconfirmedWriteVersion.isPresent(),
                        mNowEpochMillis);
        boolean hasRejections = !merge.conflicts().isEmpty() || !merge.overCapacity().isEmpty();
        if (hasRejections && !mBaseFresh) {
            // The copy may be stale, and the key may have been released since.
            return read();
        }
        List<ClaimShardEffect> effects = new ArrayList<>();
        merge.alreadyStored().forEach(intent -> settleStored(intent, effects));
        merge.conflicts().forEach((intent, claim) -> settleConflict(intent, claim, effects));
        merge.overCapacity().forEach(intent -> abandon(intent, effects));
        if (merge.hasChanges()) {
            mPhase = Phase.WRITING;
            mInFlight = Optional.of(merge);
            effects.add(new WriteShard(mNumber, mBase.get().version(), merge.document()));
        }
        return effects;
    }

    private List<ClaimShardEffect> read() {
        mPhase = Phase.READING;
        return List.of(new ReadShard(mNumber));
    }

    private void settleStored(ClaimIntent intent, List<ClaimShardEffect> effects) {
        AttemptId attempt = intent.claim().attempt();
        Optional<ClaimIntent> current = Optional.ofNullable(mPending.get(attempt));
        boolean superseded = current.filter(c -> c.target() != intent.target()).isPresent();
        if (superseded) {
            return;
        }
        mPending.remove(attempt);
        if (intent.makesClaim()) {
            effects.add(new Settled(intent.claim(), new ClaimResult.Acquired()));
        }
    }

    private void settleConflict(
            ClaimIntent intent, ClaimRecord claim, List<ClaimShardEffect> effects) {
        mPending.remove(intent.claim().attempt());
        effects.add(new Settled(intent.claim(), new ClaimResult.HeldByOther(claim)));
    }

    private void abandon(ClaimIntent intent, List<ClaimShardEffect> effects) {
        if (intent.sent()) {
            mPending.put(intent.claim().attempt(), intent.released());
        } else {
            mPending.remove(intent.claim().attempt());
        }
        effects.add(new Settled(intent.claim(), new ClaimResult.Unavailable()));
    }

    private void markSent() {
        mInFlight
                .map(ClaimMerge::written)
                .orElse(List.of())
                .forEach(
                        intent ->
                                mPending.computeIfPresent(
                                        intent.claim().attempt(),
                                        (attempt, current) -> current.asSent()));
    }

    private static boolean carries(ClaimMerge merge, AttemptId attempt) {
        return merge.written().stream()
                .anyMatch(intent -> intent.claim().attempt().equals(attempt));
    }
}
