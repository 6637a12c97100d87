package org.cyclamenpaddle.routing.grant;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.cyclamenpaddle.core.config.BackendRole;
import org.cyclamenpaddle.core.config.BackendSpec;
import org.cyclamenpaddle.core.id.AttemptId;
import org.cyclamenpaddle.core.invariant.Invariants;
import org.cyclamenpaddle.core.message.GrantDecision;
import org.cyclamenpaddle.core.message.GrantRequest;
import org.cyclamenpaddle.core.message.GrantResponse;
import org.cyclamenpaddle.core.message.LedgerSummary;
import org.cyclamenpaddle.routing.schedule.Interval;

/**
 * The ledger of grants of one backend server in one role, kept by the host that owns it.
 *
 * <p>It is soft state: losing it, or two owners for a moment, costs efficiency and not safety,
 * since an engine refuses what it has no room for. No grant promises more slots or pieces than
 * there are at any instant, as far as the ledger knows; only what {@link #register} and {@link
 * #observe} tell of and attempts that run longer than expected can exceed them. Not thread-safe;
 * every method takes the reading of one clock.
 */
public final class GrantLedger {

    private final BackendRole mRole;
    private final LedgerSettings mSettings;
    private final Map<AttemptId, Reservation> mHeld = new LinkedHashMap<>();
    private final Set<AttemptId> mEnded = new LinkedHashSet<>();
    private final RoomPlan mPlan;

    private BackendSpec mSpec;
    private boolean mObserved;
    private boolean mClosed;
    private long mRecoverUntil = Long.MIN_VALUE;

    /**
     * Creates an empty ledger.
     *
     * @param spec the backend server
     * @param role what the preset in force uses it for
     * @param settings times and sizes
     */
    public GrantLedger(BackendSpec spec, BackendRole role, LedgerSettings settings) {
        mSpec = spec;
        mRole = role;
        mSettings = settings;
        mPlan =
                role == BackendRole.PREFILL
                        ? new QueuePlan(spec, settings)
                        : new SlotPlan(spec, settings);
    }

    /**
     * Decides on an ask; idempotent by attempt.
     *
     * <p>Decode and plain: {@code latestInMillis} bounds the start of the room. Prefill: it bounds
     * the expected end of prefill and transfer. An attempt that has ended gets no room again.
     *
     * @param ask an ask for this backend server
     * @param nowMillis reading of the clock
     */
    public GrantResponse request(GrantRequest ask, long nowMillis) {
        requireOwn(ask);
        Reservation held = mHeld.get(ask.attempt());
        if (held != null) {
            Interval promised = new Interval(held.startMillis(), held.endMillis());
            return answer(ask, GrantDecision.GRANTED, promised, nowMillis);
        }
        if (closed() || mRole != ask.role() || mEnded.contains(ask.attempt())) {
            return unavailable(ask, 0);
        }
        if (recovering(nowMillis) && !mObserved) {
            return unavailable(ask, mRecoverUntil - nowMillis);
        }
        if (mSpec.memoryPieces() > 0 && ask.pieces() > mSpec.memoryPieces()) {
            return new GrantResponse(ask.attempt(), ask.backend(), GrantDecision.TOO_BIG, 0, 0);
        }
        Interval span = mPlan.preview(ask, mHeld.values(), reservedSlots(nowMillis), nowMillis);
        if (mPlan.tooLate(ask, span, nowMillis)) {
            return answer(ask, GrantDecision.TOO_LATE, span, nowMillis);
        }
        hold(ask, span, false);
        mPlan.requireRoom(mHeld.values(), span, nowMillis);
        return answer(ask, GrantDecision.GRANTED, span, nowMillis);
    }

    /**
     * Gives back the room of an attempt; idempotent, and remembered, so that an ask delivered late
     * gets none.
     *
     * @param attempt the attempt
     * @param nowMillis reading of the clock
     */
    public void release(AttemptId attempt, long nowMillis) {
        Reservation held = mHeld.get(attempt);
        if (held != null && held.begun(nowMillis)) {
            mPlan.ended(held, nowMillis);
        }
        remove(attempt);
        mEnded.add(attempt);
        if (mEnded.size() > mSettings.maxEndedAttempts()) {
            mEnded.remove(mEnded.iterator().next());
        }
    }

    /**
     * Enters room that a peer's attempt holds or was promised by the former owner.
     *
     * <p>It is entered even where it exceeds what there is: the former owner promised it.
     *
     * @param held the peer's ask, with {@code neededInMillis} 0 if the attempt runs already
     * @param nowMillis reading of the clock
     */
    public void register(GrantRequest held, long nowMillis) {
        requireOwn(held);
        boolean known = mHeld.containsKey(held.attempt());
        if (mEnded.contains(held.attempt()) || mRole != held.role()) {
            return;
        }
        boolean seen = known && mHeld.get(held.attempt()).seen();
        remove(held.attempt());
        long start = nowMillis + Math.max(0, held.neededInMillis());
        hold(held, new Interval(start, start + held.holdMillis()), seen);
    }

    /**
     * Reconciles the ledger with the engine's own list of attempts.
     *
     * <p>Attempts that only the engine knows are counted from now on. A promise whose start passed
     * the grace time ago without the attempt being seen expires, and so does an attempt that was
     * seen before and is not any more.
     *
     * @param attempts the engine's whole list
     * @param nowMillis reading of the clock
     */
    public void observe(List<ObservedAttempt> attempts, long nowMillis) {
        Map<AttemptId, ObservedAttempt> running =
                attempts.stream()
                        .filter(seen -> !seen.ended() && seen.role() == mRole)
                        .collect(
                                Collectors.toMap(
                                        ObservedAttempt::attempt,
                                        seen -> seen,
                                        (first, second) -> first,
                                        HashMap::new));
        List<AttemptId> gone =
                mHeld.values().stream()
                        .filter(held -> !running.containsKey(held.attempt()))
                        .filter(held -> held.seen() || neverStarted(held, nowMillis))
                        .map(Reservation::attempt)
                        .toList();
        gone.forEach(this::remove);
        running.values().forEach(seen -> count(seen, nowMillis));
        mObserved = true;
    }

    /**
     * Tells what peers should know of this ledger.
     *
     * @param nowMillis reading of the clock
     */
    public LedgerSummary summary(long nowMillis) {
        LedgerSummary summary = mPlan.summary(mHeld.values(), reservedSlots(nowMillis), nowMillis);
        if (closed() || (recovering(nowMillis) && !mObserved)) {
            return new LedgerSummary(mSpec.id(), summary.freeInMillis(), 0, 0, !closed());
        }
        return summary;
    }

    /**
     * Makes this ledger conservative for a time after a change of owner.
     *
     * <p>Safeguard: the former owner's promises are unknown at first, and promising their slots
     * again would waste the prefills made for them. Until the engine's list was observed nothing is
     * granted; then a share of the slots stays free for promises not yet registered.
     *
     * @param untilMillis reading of the clock at which recovery ends
     */
    public void recoverUntil(long untilMillis) {
        mRecoverUntil = untilMillis;
        mObserved = false;
    }

    /**
     * Takes over a changed declaration of the same backend server; what is held stays held.
     *
     * @param spec the declaration; other rates than before need a new ledger
     */
    public void updateSpec(BackendSpec spec) {
        Invariants.require(
                spec.id().equals(mSpec.id()),
                () -> "ledger of " + mSpec.id() + " got " + spec.id());
        mSpec = spec;
    }

    /** Grants nothing new until {@link #open}; what is held stays held. */
    public void close() {
        mClosed = true;
    }

    /** Grants again after {@link #close}. */
    public void open() {
        mClosed = false;
    }

    /**
     * Gives out no more than some of a decode server's slots from now on, so that its tokens keep
     * their pace; what is held stays held.
     *
     * @param most slots, at least 1
     */
    public void limitSlots(int most) {
        if (most < 1) {
            throw new IllegalArgumentException("slot limit " + most + " must be above 0");
        }
        mPlan.limitSlots(most);
    }

    /** Returns the role that the backend server has in this ledger. */
    public BackendRole role() {
        return mRole;
    }

    /** Returns the attempts that hold or are promised room. */
    public Set<AttemptId> attempts() {
        return Set.copyOf(mHeld.keySet());
    }

    private void hold(GrantRequest ask, Interval span, boolean seen) {
        Reservation reservation =
                new Reservation(
                        ask.attempt(), ask.pieces(), span.startMillis(), span.endMillis(), seen);
        mPlan.take(ask, span);
        mHeld.put(ask.attempt(), reservation);
    }

    private void remove(AttemptId attempt) {
        mPlan.release(attempt);
        mHeld.remove(attempt);
    }

    private void count(ObservedAttempt seen, long nowMillis) {
        Reservation held = mHeld.get(seen.attempt());
        Reservation counted =
                held == null
                        ? new Reservation(
                                seen.attempt(),
                                seen.pieces(),
                                nowMillis,
                                nowMillis + mSettings.unknownHoldMillis(),
                                true)
                        : held.observed(seen.pieces());
        mHeld.put(seen.attempt(), counted);
    }

    private boolean neverStarted(Reservation held, long nowMillis) {
        return nowMillis - held.startMillis() > mSettings.startGraceMillis();
    }

    private boolean closed() {
        return mClosed || mSpec.leaving();
    }

    private boolean recovering(long nowMillis) {
        return nowMillis < mRecoverUntil;
    }

    private int reservedSlots(long nowMillis) {
        if (!recovering(nowMillis)) {
            return 0;
        }
        return (int) Math.ceil(mSpec.slots() * mSettings.recoveryReserve());
    }

    private GrantResponse unavailable(GrantRequest ask, long startInMillis) {
        return new GrantResponse(
                ask.attempt(), ask.backend(), GrantDecision.UNAVAILABLE, startInMillis, 0);
    }

    private GrantResponse answer(
            GrantRequest ask, GrantDecision decision, Interval span, long nowMillis) {
        return new GrantResponse(
                ask.attempt(),
                ask.backend(),
                decision,
                Math.max(0, span.startMillis() - nowMillis),
                Math.max(0, span.endMillis() - nowMillis));
    }

    private void requireOwn(GrantRequest ask) {
        Invariants.require(
                ask.backend().equals(mSpec.id()),
                () -> "ledger of " + mSpec.id() + " asked for " + ask.backend());
    }
}
