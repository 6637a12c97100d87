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
 * State of the search for a pair of servers: the choices made, the servers that refused, and the
 * time at which capacity was announced.
 *
 * <p>It chooses and records; sending grant requests and acting on the outcome is up to {@link
 * RequestMachine}.
 */
final class PlacementRound {

    private final RequestShape mShape;
    private final RequestEnvironment mEnvironment;
    private final int mMaxDecodeChoices;
    private final Set<BackendId> mFailed = new HashSet<>();
    private final Set<BackendId> mRefused = new HashSet<>();

    private Optional<PlacedAttempt> mPrefill = Optional.empty();
    private Optional<PlacedAttempt> mDecode = Optional.empty();
    private long mDeadlineMillis;
    private int mDecodeChoices;
    private long mEarliestStartInMillis = Long.MAX_VALUE;

    PlacementRound(RequestShape shape, RequestEnvironment environment, int maxDecodeChoices) {
        mShape = shape;
        mEnvironment = environment;
        mMaxDecodeChoices = maxDecodeChoices;
    }

    /** Starts a search that may last until {@code deadlineMillis}; earlier refusals are cleared. */
    void begin(long deadlineMillis) {
        mDeadlineMillis = deadlineMillis;
        clearRefusals();
    }

    void clearRefusals() {
        mRefused.clear();
        mEarliestStartInMillis = Long.MAX_VALUE;
    }

    /** Excludes a server from all later choices for this request. */
    void exclude(BackendId backend) {
        mFailed.add(backend);
    }

    /**
     * Returns whether all requested servers refused without granting or announcing a start time.
     */
    boolean refusedWithoutStartTime() {
        return !mRefused.isEmpty() && mEarliestStartInMillis == Long.MAX_VALUE;
    }

    boolean pastDeadline(long now) {
        return now >= mDeadlineMillis;
    }

    long deadlineMillis() {
        return mDeadlineMillis;
    }

    PlacedAttempt prefill() {
        return mPrefill.orElseThrow();
    }

    PlacedAttempt decode() {
        return mDecode.orElseThrow();
    }

    boolean isPrefill(AttemptId attempt) {
        return mPrefill.filter(placed -> placed.attempt().equals(attempt)).isPresent();
    }

    boolean isDecode(AttemptId attempt) {
        return mDecode.filter(placed -> placed.attempt().equals(attempt)).isPresent();
    }

    /** Chooses a prefill server; the grant request is empty if the policy does not use grants. */
    Either<Refusal, Optional<GrantRequest>> selectPrefillServer(int generated, long now) {
        mDecode = Optional.empty();
        mDecodeChoices = 0;
        return mEnvironment
                .rankPrefill(mShape, generated, excluded(), now)
                .map(ranked -> prefillGrantRequest(ranked.get(0), generated, now))
                .mapLeft(this::toPlacementRefusal);
    }

    /** Chooses a decode server for the prefill server chosen before. */
    Either<Refusal, Optional<GrantRequest>> selectDecodeServer(int generated, long now) {
        long endInMillis = Math.max(0, prefill().readyAtMillis() - now);
        mDecodeChoices++;
        return mEnvironment
                .rankDecode(mShape, prefill().backend(), endInMillis, excluded(), now)
                .map(ranked -> decodeGrantRequest(ranked.get(0), generated, endInMillis, now))
                .mapLeft(this::toPlacementRefusal);
    }

    /** Chooses a decode server other than the full one, or the same one if there is no other. */
    void selectDecodeServerAfterFull(long now) {
        mRefused.add(decode().backend());
        if (selectOtherDecodeServer(excluded(), now).isLeft()) {
            mRefused.clear();
            selectOtherDecodeServer(mFailed, now);
        }
    }

    /**
     * Chooses another decode server for an existing prefill result; there is no time for grants.
     */
    Either<Refusal, PlacedAttempt> selectOtherDecodeServer(long now) {
        return selectOtherDecodeServer(mFailed, now);
    }

    private Either<Refusal, PlacedAttempt> selectOtherDecodeServer(
            Set<BackendId> excluded, long now) {
        Either<Refusal, List<Choice>> ranked =
                mEnvironment.rankDecode(mShape, prefill().backend(), 0, excluded, now);
        ranked.peek(
                choices ->
                        mDecode =
                                Optional.of(
                                        new PlacedAttempt(
                                                mEnvironment.newAttempt(), choices.get(0), now)));
        return ranked.map(choices -> decode()).mapLeft(this::toPlacementRefusal);
    }

    void prefillGranted(GrantResponse response, long now) {
        mPrefill = Optional.of(prefill().readyAtMillis(now + response.endInMillis()));
    }

    /**
     * Applies a decode grant and returns by how many milliseconds the prefill has to wait for the
     * slot.
     */
    long decodeGranted(GrantResponse response, long now) {
        long waitMillis = now + response.startInMillis() - decode().readyAtMillis();
        mDecode = Optional.of(decode().readyAtMillis(now + response.startInMillis()));
        return waitMillis;
    }

    /**
     * Records that a server gave no grant; returns the refusal if no other server is to be tried.
     */
    Optional<Refusal> recordRefusal(BackendId backend, Optional<GrantResponse> response, long now) {
        mRefused.add(backend);
        response.filter(refused -> refused.decision() == GrantDecision.TOO_LATE)
                .ifPresent(
                        refused ->
                                mEarliestStartInMillis =
                                        Math.min(mEarliestStartInMillis, refused.startInMillis()));
        return pastDeadline(now) || mDecodeChoices >= mMaxDecodeChoices
                ? Optional.of(deadlineRefusal())
                : Optional.empty();
    }

    private Optional<GrantRequest> prefillGrantRequest(Choice choice, int generated, long now) {
        AttemptId attempt = mEnvironment.newAttempt();
        mPrefill = Optional.of(new PlacedAttempt(attempt, choice, now + choice.predictedMillis()));
        return ifGrantsUsed(
                mEnvironment.prefillGrantRequest(
                        attempt, mShape, generated, choice, mDeadlineMillis - now));
    }

    private Optional<GrantRequest> decodeGrantRequest(
            Choice choice, int generated, long endInMillis, long now) {
        AttemptId attempt = mEnvironment.newAttempt();
        GrantRequest grantRequest =
                mEnvironment.decodeGrantRequest(
                        attempt,
                        mShape,
                        generated,
                        choice,
                        prefill().backend(),
                        endInMillis,
                        mDeadlineMillis - now);
        mDecode =
                Optional.of(
                        new PlacedAttempt(attempt, choice, now + grantRequest.neededInMillis()));
        return ifGrantsUsed(grantRequest);
    }

    private Optional<GrantRequest> ifGrantsUsed(GrantRequest grantRequest) {
        return mEnvironment.usesGrants() ? Optional.of(grantRequest) : Optional.empty();
    }

    private Set<BackendId> excluded() {
        Set<BackendId> all = new HashSet<>(mFailed);
        all.addAll(mRefused);
        return all;
    }

    /**
     * Maps a ranking without choices to a missed deadline if owners have announced later capacity.
     */
    private Refusal toPlacementRefusal(Refusal ranking) {
        boolean noBackend = ranking.reason() == RefusalReason.NO_BACKEND;
        return noBackend && mEarliestStartInMillis != Long.MAX_VALUE ? deadlineRefusal() : ranking;
    }

    private Refusal deadlineRefusal() {
        if (mEarliestStartInMillis == Long.MAX_VALUE) {
            return Refusal.of(RefusalReason.NO_BACKEND, "No owner granted capacity.");
        }
        return new Refusal(
                RefusalReason.DEADLINE_UNREACHABLE,
                "Capacity is expected in " + mEarliestStartInMillis + " ms.",
                Math.max(1, mEarliestStartInMillis));
    }
}
