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
 * Ledger of the grants of one backend server in one role, maintained by the host that owns it.
 *
 * <p>It is soft state: its loss, or two owners for a moment, costs efficiency and not safety, since
 * an engine rejects what it has no capacity for. As far as the ledger knows, its grants never
 * promise more slots or blocks than exist at any time; only reservations from {@link #register} and
 * {@link #observe}, and attempts that run longer than expected, can exceed them. Not thread-safe;
 * all methods take readings of one clock.
 */
public final class GrantLedger {

    private final BackendRole mRole;
    private final LedgerSettings mSettings;
    private final Map<AttemptId, Reservation> mHeld = new LinkedHashMap<>();
    private final Set<AttemptId> mEnded = new LinkedHashSet<>();
    private final CapacityPlan mPlan;

    private BackendSpec mSpec;
    private boolean mObserved;
    private boolean mClosed;
    private long mRecoversUntilMillis = Long.MIN_VALUE;

    /**
     * Creates an empty ledger.
     *
     * @param spec the backend server
     * @param role role of the backend server in the preset in force
     * @param settings times and limits
     */
    public GrantLedger(BackendSpec spec, BackendRole role, LedgerSettings settings) {
        mSpec = spec;
        mRole = role;
        mSettings = settings;
        mPlan =
                role == BackendRole.PREFILL
                        ? new PrefillPlan(spec, settings)
                        : new SlotPlan(spec, settings);
    }

    /**
     * Decides on a grant request; idempotent by attempt.
     *
     * <p>Decode and plain: {@code latestInMillis} bounds the start of the reservation. Prefill: it
     * bounds the expected end of prefill and transfer. An attempt that has ended is not granted
     * again.
     *
     * @param request a grant request for this backend server
     * @param nowMillis current clock reading
     */
    public GrantResponse request(GrantRequest request, long nowMillis) {
        requireOwn(request);
        Reservation held = mHeld.get(request.attempt());
        if (held != null) {
            Interval promised = new Interval(held.startMillis(), held.endMillis());
            return response(request, GrantDecision.GRANTED, promised, nowMillis);
        }
        if (closed() || mRole != request.role() || mEnded.contains(request.attempt())) {
            return unavailable(request, 0);
        }
        if (recovering(nowMillis) && !mObserved) {
            return unavailable(request, mRecoversUntilMillis - nowMillis);
        }
        if (mSpec.memoryPieces() > 0 && request.pieces() > mSpec.memoryPieces()) {
            return new GrantResponse(
                    request.attempt(), request.backend(), GrantDecision.TOO_BIG, 0, 0);
        }
        Interval span = mPlan.preview(request, mHeld.values(), reservedSlots(nowMillis), nowMillis);
        if (mPlan.tooLate(request, span, nowMillis)) {
            return response(request, GrantDecision.TOO_LATE, span, nowMillis);
        }
        addReservation(request, span, false);
        mPlan.requireCapacity(mHeld.values(), span, nowMillis);
        return response(request, GrantDecision.GRANTED, span, nowMillis);
    }

    /**
     * Releases the reservation of an attempt; idempotent. The attempt is remembered, so that a
     * grant request delivered late is refused.
     *
     * @param attempt the attempt
     * @param nowMillis current clock reading
     */
    public void release(AttemptId attempt, long nowMillis) {
        Reservation held = mHeld.get(attempt);
        if (held != null && held.started(nowMillis)) {
            mPlan.ended(held, nowMillis);
        }
        remove(attempt);
        mEnded.add(attempt);
        if (mEnded.size() > mSettings.maxEndedAttempts()) {
            mEnded.remove(mEnded.iterator().next());
        }
    }

    /**
     * Registers a reservation that a peer's attempt holds or was promised by the previous owner.
     *
     * <p>It is registered even where it exceeds the capacity: the previous owner promised it.
     *
     * @param held the peer's grant request, with {@code neededInMillis} 0 if the attempt is already
     *     running
     * @param nowMillis current clock reading
     */
    public void register(GrantRequest held, long nowMillis) {
        requireOwn(held);
        boolean known = mHeld.containsKey(held.attempt());
        if (mEnded.contains(held.attempt()) || mRole != held.role()) {
            return;
        }
        boolean observed = known && mHeld.get(held.attempt()).observed();
        remove(held.attempt());
        long start = nowMillis + Math.max(0, held.neededInMillis());
        addReservation(held, new Interval(start, start + held.holdMillis()), observed);
    }

    /**
     * Reconciles the ledger with the engine's own list of attempts.
     *
     * <p>Attempts that only the engine knows are counted from now on. A promise expires if its
     * attempt has not been observed within the grace time after its start; a reservation whose
     * attempt was observed before expires once it is no longer listed.
     *
     * @param attempts the engine's complete list
     * @param nowMillis current clock reading
     */
    public void observe(List<ObservedAttempt> attempts, long nowMillis) {
        Map<AttemptId, ObservedAttempt> running =
                attempts.stream()
                        .filter(observed -> !observed.ended() && observed.role() == mRole)
                        .collect(
                                Collectors.toMap(
                                        ObservedAttempt::attempt,
                                        observed -> observed,
                                        (first, second) -> first,
                                        HashMap::new));
        List<AttemptId> expired =
                mHeld.values().stream()
                        .filter(held -> !running.containsKey(held.attempt()))
                        .filter(held -> held.observed() || expiredUnstarted(held, nowMillis))
                        .map(Reservation::attempt)
                        .toList();
        expired.forEach(this::remove);
        running.values().forEach(observed -> recordObserved(observed, nowMillis));
        mObserved = true;
    }

    /**
     * Returns the summary of this ledger for peers.
     *
     * @param nowMillis current clock reading
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
     * <p>Safeguard: the previous owner's promises are unknown at first, and promising their slots
     * again would waste the prefills made for them. Until the engine's list has been observed
     * nothing is granted; then a share of the slots stays free for promises not yet registered.
     *
     * @param untilMillis clock reading at which recovery ends
     */
    public void recoverUntil(long untilMillis) {
        mRecoversUntilMillis = untilMillis;
        mObserved = false;
    }

    /**
     * Applies a changed declaration of the same backend server; reservations are retained.
     *
     * @param spec the declaration; changed rates require a new ledger
     */
    public void updateSpec(BackendSpec spec) {
        Invariants.require(
                spec.id().equals(mSpec.id()),
                () -> "ledger of " + mSpec.id() + " cannot be updated to " + spec.id());
        mSpec = spec;
    }

    /** Stops granting until {@link #open}; reservations are retained. */
    public void close() {
        mClosed = true;
    }

    /** Resumes granting after {@link #close}. */
    public void open() {
        mClosed = false;
    }

    /**
     * Limits the slots of a decode server that are granted from now on, so that its time between
     * tokens stays within the target; reservations are retained.
     *
     * @param maxSlots maximum number of slots, at least 1
     */
    public void limitSlots(int maxSlots) {
        if (maxSlots < 1) {
            throw new IllegalArgumentException("slot limit " + maxSlots + " must be above 0");
        }
        mPlan.limitSlots(maxSlots);
    }

    /** Returns the role of the backend server in this ledger. */
    public BackendRole role() {
        return mRole;
    }

    /** Returns the attempts that hold or are promised a reservation. */
    public Set<AttemptId> attempts() {
        return Set.copyOf(mHeld.keySet());
    }

    private void addReservation(GrantRequest request, Interval span, boolean observed) {
        Reservation reservation =
                new Reservation(
                        request.attempt(),
                        request.pieces(),
                        span.startMillis(),
                        span.endMillis(),
                        observed);
        mPlan.reserve(request, span);
        mHeld.put(request.attempt(), reservation);
    }

    private void remove(AttemptId attempt) {
        mPlan.release(attempt);
        mHeld.remove(attempt);
    }

    private void recordObserved(ObservedAttempt observed, long nowMillis) {
        Reservation held = mHeld.get(observed.attempt());
        Reservation counted =
                held == null
                        ? new Reservation(
                                observed.attempt(),
                                observed.pieces(),
                                nowMillis,
                                nowMillis + mSettings.unknownHoldMillis(),
                                true)
                        : held.withObservation(observed.pieces());
        mHeld.put(observed.attempt(), counted);
    }

    private boolean expiredUnstarted(Reservation held, long nowMillis) {
        return nowMillis - held.startMillis() > mSettings.startGraceMillis();
    }

    private boolean closed() {
        return mClosed || mSpec.leaving();
    }

    private boolean recovering(long nowMillis) {
        return nowMillis < mRecoversUntilMillis;
    }

    private int reservedSlots(long nowMillis) {
        if (!recovering(nowMillis)) {
            return 0;
        }
        return (int) Math.ceil(mSpec.slots() * mSettings.recoveryReserve());
    }

    private GrantResponse unavailable(GrantRequest request, long startInMillis) {
        return new GrantResponse(
                request.attempt(), request.backend(), GrantDecision.UNAVAILABLE, startInMillis, 0);
    }

    private GrantResponse response(
            GrantRequest request, GrantDecision decision, Interval span, long nowMillis) {
        return new GrantResponse(
                request.attempt(),
                request.backend(),
                decision,
                Math.max(0, span.startMillis() - nowMillis),
                Math.max(0, span.endMillis() - nowMillis));
    }

    private void requireOwn(GrantRequest request) {
        Invariants.require(
                request.backend().equals(mSpec.id()),
                () -> "ledger of " + mSpec.id() + " got a request for " + request.backend());
    }
}
