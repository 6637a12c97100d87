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
 * <p>One call to the platform is under way at a time; what is wanted meanwhile goes into the next.
 * Each write is conditional on the version that it was merged on, so hosts that write the same
 * shard never overwrite each other's claims: the loser merges again on what the winner left.
 *
 * <p>Not thread-safe. Every event returns the effects to carry out, in order. Wall-clock times are
 * used for retention alone.
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
    private boolean mFresh;
    private Optional<Long> mLostOnVersion = Optional.empty();
    private Optional<ClaimMerge> mInFlight = Optional.empty();
    private long mRetryAtMillis;
    private Optional<Long> mFlushAtMillis = Optional.empty();
    private boolean mFlush;
    private long mNowEpochMillis;

    /**
     * Creates a shard of which nothing is known yet.
     *
     * @param number its number, from 0
     * @param settings limits
     * @param codec tells how long a document becomes
     */
    public ClaimShard(int number, ClaimShardSettings settings, ClaimCodec codec) {
        mNumber = number;
        mSettings = settings;
        mCodec = codec;
    }

    /**
     * Wants a claim made.
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
     * Wants the outcome of an attempt of this host recorded.
     *
     * @param claim its claim
     * @param outcome its outcome; {@link ClaimState#NOT_RUN} frees the key
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
     * Goes on after the platform was found away, and writes outcomes that have waited long enough.
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
        mFlush = mFlushAtMillis.filter(at -> nowMillis >= at).isPresent();
        return proceed();
    }

    /**
     * Takes in what the platform keeps of this shard.
     *
     * @param version its version; 0 if there is none
     */
    public List<ClaimShardEffect> onRead(long version, ClaimDocument document) {
        rebase(version, document);
        return proceed();
    }

    /** Takes in that the write under way is kept. */
    public List<ClaimShardEffect> onWritten(long version) {
        ClaimMerge written = mInFlight.orElseThrow();
        rebase(version, written.document());
        mFresh = false;
        mFlush = false;
        mFlushAtMillis = Optional.empty();
        List<ClaimShardEffect> effects = new ArrayList<>();
        written.written().forEach(intent -> settleKept(intent, effects));
        effects.addAll(proceed());
        return effects;
    }

    /**
     * Takes in that the shard was no longer at the version of the write.
     *
     * @param version its version; 0 if there is none
     */
    public List<ClaimShardEffect> onConflict(long version, ClaimDocument document) {
        return onRead(version, document);
    }

    /** Takes in that the write under way may or may not be kept. */
    public List<ClaimShardEffect> onResponseLost() {
        markSent();
        mLostOnVersion = Optional.of(mBase.orElseThrow().version());
        mInFlight = Optional.empty();
        mPhase = Phase.READING;
        return List.of(new ReadShard(mNumber));
    }

    /**
     * Takes in that the call under way had no effect because the platform is away.
     *
     * <p>Claims that wait are given up. Those that an earlier write may have carried are freed as
     * soon as the platform is back.
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
                giveUp(intent, effects);
            }
        }
        return effects;
    }

    /** Returns how many changes are not yet known to be kept. */
    public int pending() {
        return mPending.size();
    }

    private void rebase(long version, ClaimDocument document) {
        long before = mBase.map(Base::version).orElse(0L);
        Invariants.require(
                version >= before,
                () -> "shard " + mNumber + " went back from version " + before + " to " + version);
        mBase = Optional.of(new Base(version, document));
        mFresh = true;
        mInFlight = Optional.empty();
        mPhase = Phase.IDLE;
        if (mLostOnVersion.filter(lost -> lost < version).isPresent()) {
            mLostOnVersion = Optional.empty();
            mPending.replaceAll((attempt, intent) -> settledSend(intent));
        }
    }

    private static ClaimIntent settledSend(ClaimIntent intent) {
        return new ClaimIntent(intent.claim(), intent.target(), false);
    }

    private List<ClaimShardEffect> proceed() {
        boolean due = mFlush || mPending.values().stream().anyMatch(ClaimIntent::urgent);
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
                        mLostOnVersion.isPresent(),
                        mNowEpochMillis);
        boolean hopeless = !merge.taken().isEmpty() || !merge.tooMany().isEmpty();
        if (hopeless && !mFresh) {
            // The copy may be old, and the key may have been freed since.
            return read();
        }
        List<ClaimShardEffect> effects = new ArrayList<>();
        merge.kept().forEach(intent -> settleKept(intent, effects));
        merge.taken().forEach((intent, claim) -> settleTaken(intent, claim, effects));
        merge.tooMany().forEach(intent -> giveUp(intent, effects));
        if (merge.changes()) {
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

    private void settleKept(ClaimIntent intent, List<ClaimShardEffect> effects) {
        AttemptId attempt = intent.claim().attempt();
        Optional<ClaimIntent> wanted = Optional.ofNullable(mPending.get(attempt));
        boolean superseded = wanted.filter(w -> w.target() != intent.target()).isPresent();
        if (superseded) {
            return;
        }
        mPending.remove(attempt);
        if (intent.makesClaim()) {
            effects.add(new Settled(intent.claim(), new ClaimResult.Acquired()));
        }
    }

    private void settleTaken(
            ClaimIntent intent, ClaimRecord claim, List<ClaimShardEffect> effects) {
        mPending.remove(intent.claim().attempt());
        effects.add(new Settled(intent.claim(), new ClaimResult.HeldByOther(claim)));
    }

    private void giveUp(ClaimIntent intent, List<ClaimShardEffect> effects) {
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
                                        (attempt, wanted) -> wanted.asSent()));
    }

    private static boolean carries(ClaimMerge merge, AttemptId attempt) {
        return merge.written().stream()
                .anyMatch(intent -> intent.claim().attempt().equals(attempt));
    }
}
