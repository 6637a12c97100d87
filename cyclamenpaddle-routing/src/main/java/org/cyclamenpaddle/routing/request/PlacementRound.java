package org.cyclamenpaddle.routing.request;

import io.vavr.control.Either;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.cyclamenpaddle.core.id.AttemptId;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.message.GrantDecision;
import org.cyclamenpaddle.core.message.GrantRequest;
import org.cyclamenpaddle.core.message.GrantResponse;
import org.cyclamenpaddle.core.outcome.Refusal;
import org.cyclamenpaddle.core.outcome.RefusalReason;

/**
 * The search for a pair of servers: what was chosen, who refused, and when room was said to come.
 *
 * <p>It chooses and remembers; asking and what follows is the machine's.
 */
final class PlacementRound {

    private final RequestShape mShape;
    private final RequestEnvironment mEnvironment;
    private final int mMaxDecodeChoices;
    private final Set<BackendId> mFailed = new HashSet<>();
    private final Set<BackendId> mRefused = new HashSet<>();

    private Optional<Placed> mPrefill = Optional.empty();
    private Optional<Placed> mDecode = Optional.empty();
    private long mPlaceBy;
    private int mDecodeChoices;
    private long mSoonestMillis = Long.MAX_VALUE;

    PlacementRound(RequestShape shape, RequestEnvironment environment, int maxDecodeChoices) {
        mShape = shape;
        mEnvironment = environment;
        mMaxDecodeChoices = maxDecodeChoices;
    }

    /** Starts a search that may last until {@code placeBy}; refusals so far are forgotten. */
    void begin(long placeBy) {
        mPlaceBy = placeBy;
        forgetRefusals();
    }

    void forgetRefusals() {
        mRefused.clear();
        mSoonestMillis = Long.MAX_VALUE;
    }

    /** Leaves a server out of every later choice for this request. */
    void failed(BackendId backend) {
        mFailed.add(backend);
    }

    /** Returns whether servers were asked, and no owner granted or named a time. */
    boolean onlyOwnersRefused() {
        return !mRefused.isEmpty() && mSoonestMillis == Long.MAX_VALUE;
    }

    boolean late(long now) {
        return now >= mPlaceBy;
    }

    long placeBy() {
        return mPlaceBy;
    }

    Placed prefill() {
        return mPrefill.orElseThrow();
    }

    Placed decode() {
        return mDecode.orElseThrow();
    }

    boolean isPrefill(AttemptId attempt) {
        return mPrefill.filter(placed -> placed.attempt().equals(attempt)).isPresent();
    }

    boolean isDecode(AttemptId attempt) {
        return mDecode.filter(placed -> placed.attempt().equals(attempt)).isPresent();
    }

    /** Chooses a prefill server; the ask is empty if the policy goes without grants. */
    Either<Refusal, Optional<GrantRequest>> choosePrefill(int generated, long now) {
        mDecode = Optional.empty();
        mDecodeChoices = 0;
        return mEnvironment
                .rankPrefill(mShape, generated, excluded(), now)
                .map(ranked -> prefillAsk(ranked.get(0), generated, now))
                .mapLeft(this::meaning);
    }

    /** Chooses a decode server for the prefill server chosen before. */
    Either<Refusal, Optional<GrantRequest>> chooseDecode(int generated, long now) {
        long endIn = Math.max(0, prefill().readyAt() - now);
        mDecodeChoices++;
        return mEnvironment
                .rankDecode(mShape, prefill().backend(), endIn, excluded(), now)
                .map(ranked -> decodeAsk(ranked.get(0), generated, endIn, now))
                .mapLeft(this::meaning);
    }

    /** Chooses a decode server other than the one that was full; keeps that one if it is alone. */
    void decodeAfterFull(long now) {
        mRefused.add(decode().backend());
        if (decodeElsewhere(excluded(), now).isLeft()) {
            mRefused.clear();
            decodeElsewhere(mFailed, now);
        }
    }

    /** Chooses another decode server for a result that is there; there is no time for grants. */
    Either<Refusal, Placed> decodeElsewhere(long now) {
        return decodeElsewhere(mFailed, now);
    }

    private Either<Refusal, Placed> decodeElsewhere(Set<BackendId> without, long now) {
        Either<Refusal, List<Choice>> ranked =
                mEnvironment.rankDecode(mShape, prefill().backend(), 0, without, now);
        ranked.peek(
                choices ->
                        mDecode =
                                Optional.of(
                                        new Placed(
                                                mEnvironment.newAttempt(), choices.get(0), now)));
        return ranked.map(choices -> decode()).mapLeft(this::meaning);
    }

    void prefillGranted(GrantResponse answer, long now) {
        mPrefill = Optional.of(prefill().readyAt(now + answer.endInMillis()));
    }

    /** Takes a decode grant and returns by how much the prefill has to wait for the slot. */
    long decodeGranted(GrantResponse answer, long now) {
        long wait = now + answer.startInMillis() - decode().readyAt();
        mDecode = Optional.of(decode().readyAt(now + answer.startInMillis()));
        return wait;
    }

    /** Notes that a server gave no grant; returns the refusal if no other one is to be asked. */
    Optional<Refusal> refused(BackendId backend, Optional<GrantResponse> answer, long now) {
        mRefused.add(backend);
        answer.filter(given -> given.decision() == GrantDecision.TOO_LATE)
                .ifPresent(
                        given -> mSoonestMillis = Math.min(mSoonestMillis, given.startInMillis()));
        return late(now) || mDecodeChoices >= mMaxDecodeChoices
                ? Optional.of(tooLate())
                : Optional.empty();
    }

    private Optional<GrantRequest> prefillAsk(Choice choice, int generated, long now) {
        AttemptId attempt = mEnvironment.newAttempt();
        mPrefill = Optional.of(new Placed(attempt, choice, now + choice.predictedMillis()));
        return asked(
                mEnvironment.prefillGrantRequest(
                        attempt, mShape, generated, choice, mPlaceBy - now));
    }

    private Optional<GrantRequest> decodeAsk(Choice choice, int generated, long endIn, long now) {
        AttemptId attempt = mEnvironment.newAttempt();
        GrantRequest ask =
                mEnvironment.decodeGrantRequest(
                        attempt,
                        mShape,
                        generated,
                        choice,
                        prefill().backend(),
                        endIn,
                        mPlaceBy - now);
        mDecode = Optional.of(new Placed(attempt, choice, now + ask.neededInMillis()));
        return asked(ask);
    }

    private Optional<GrantRequest> asked(GrantRequest ask) {
        return mEnvironment.usesGrants() ? Optional.of(ask) : Optional.empty();
    }

    private Set<BackendId> excluded() {
        Set<BackendId> both = new HashSet<>(mFailed);
        both.addAll(mRefused);
        return both;
    }

    /** A ranking without choices after owners refused means too late, not that none exist. */
    private Refusal meaning(Refusal ranking) {
        boolean none = ranking.reason() == RefusalReason.NO_BACKEND;
        return none && mSoonestMillis != Long.MAX_VALUE ? tooLate() : ranking;
    }

    private Refusal tooLate() {
        if (mSoonestMillis == Long.MAX_VALUE) {
            return Refusal.of(RefusalReason.NO_BACKEND, "No owner granted room.");
        }
        return new Refusal(
                RefusalReason.DEADLINE_UNREACHABLE,
                "Room is expected in " + mSoonestMillis + " ms.",
                Math.max(1, mSoonestMillis));
    }
}
