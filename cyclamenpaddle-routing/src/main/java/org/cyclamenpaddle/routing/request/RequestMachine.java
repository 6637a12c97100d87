package org.cyclamenpaddle.routing.request;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.cyclamenpaddle.core.config.BackendRole;
import org.cyclamenpaddle.core.config.BackendSpec;
import org.cyclamenpaddle.core.id.AttemptId;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.invariant.Invariants;
import org.cyclamenpaddle.core.message.GrantAnswer;
import org.cyclamenpaddle.core.message.GrantAsk;
import org.cyclamenpaddle.core.message.GrantDecision;
import org.cyclamenpaddle.core.outcome.Refusal;
import org.cyclamenpaddle.core.outcome.RefusalReason;
import org.cyclamenpaddle.core.outcome.RetryReason;

/**
 * One model request from arrival to its one final effect.
 *
 * <p>Room is reserved on both engines before the prefill starts, since a result that finds no
 * decode slot dies within a second. Every event carries the attempt it is about; events of attempts
 * given up on are late and change nothing. Not safe for use by several threads at once.
 */
public final class RequestMachine {

    private static final int MAX_RESUMES_WITHOUT_TOKEN = 3;
    private static final long PLACE_PAUSE_MILLIS = 250;

    private final RequestShape mShape;
    private final RequestSettings mSettings;
    private final RequestEnvironment mEnvironment;
    private final AnswerRelay mRelay = new AnswerRelay();
    private final OpenWork mOpen = new OpenWork();
    private final Set<BackendId> mFailed = new HashSet<>();
    private final Set<BackendId> mRefused = new HashSet<>();

    private List<RequestEffect> mEffects = new ArrayList<>();
    private RequestPhase mPhase = RequestPhase.NEW;
    private Placed mPrefill;
    private Placed mDecode;
    private long mPlaceBy;
    private long mResultUntil;
    private int mUnusedTokens;
    private int mPlacements;
    private int mDecodeChoices;
    private int mResumes;
    private long mSoonestMillis = Long.MAX_VALUE;
    private long mTimerGeneration;
    private long mLastProgress;

    /**
     * Creates the machine of a request.
     *
     * @param shape the request
     * @param settings bounds on its steps
     * @param environment the blackboard as the machine sees it
     */
    public RequestMachine(
            RequestShape shape, RequestSettings settings, RequestEnvironment environment) {
        mShape = shape;
        mSettings = settings;
        mEnvironment = environment;
    }

    /** Returns where the request stands. */
    public RequestPhase phase() {
        return mPhase;
    }

    /** Returns the number of tokens sent to the caller. */
    public int tokensSent() {
        return mRelay.nextIndex();
    }

    /** Admits and places the request; called once. */
    public List<RequestEffect> start(long now) {
        Invariants.require(mPhase == RequestPhase.NEW, () -> mShape.id() + " started twice");
        mPlaceBy = now + mShape.firstTokenMillis();
        mEnvironment.admit(mShape, now).ifPresentOrElse(this::endRefused, () -> placePrefill(now));
        return drain();
    }

    /** Takes an owner's answer. */
    public List<RequestEffect> onGrantAnswer(GrantAnswer answer, long now) {
        boolean granted = answer.decision() == GrantDecision.GRANTED;
        if (mPhase == RequestPhase.PLACING_PREFILL && isCurrent(mPrefill, answer.attempt())) {
            if (granted) {
                mPrefill = mPrefill.readyAt(now + answer.endInMillis());
                startPlacingDecode(now);
            } else {
                grantRefused(answer, now);
            }
        } else if (mPhase == RequestPhase.PLACING_DECODE && isCurrent(mDecode, answer.attempt())) {
            if (granted) {
                mDecode = mDecode.readyAt(now + answer.startInMillis());
                awaitPrefillStart(now);
            } else {
                grantRefused(answer, now);
            }
        } else if (granted && !isOpen(answer.attempt())) {
            mEffects.add(new RequestEffect.EndGrant(answer.attempt(), answer.backend()));
        }
        return drain();
    }

    /**
     * Takes the end of a prefill.
     *
     * @param computedTokens tokens computed, those from the prefix cache left out
     * @param resultMillis how long the result lives, from now
     */
    public List<RequestEffect> onPrefillDone(
            AttemptId attempt, int computedTokens, long resultMillis, long now) {
        if (mPhase == RequestPhase.PREFILLING && isCurrent(mPrefill, attempt)) {
            mUnusedTokens = computedTokens;
            mResultUntil = now + resultMillis;
            startDecode(now);
        }
        return drain();
    }

    /** Takes the failure of a prefill. */
    public List<RequestEffect> onPrefillFailed(AttemptId attempt, StepFailure failure, long now) {
        if (mPhase == RequestPhase.PREFILLING && isCurrent(mPrefill, attempt)) {
            prefillFailed(failure, now);
        }
        return drain();
    }

    /** Takes the end of a transfer. */
    public List<RequestEffect> onImported(AttemptId attempt, long now) {
        if (isReceiving(attempt)) {
            imported(now);
        }
        return drain();
    }

    /** Takes a token. */
    public List<RequestEffect> onToken(AttemptId attempt, int index, String text, long now) {
        if (isReceiving(attempt)) {
            imported(now);
            relay(index, text, now);
        }
        return drain();
    }

    /** Takes the engine's final mark. */
    public List<RequestEffect> onEnd(AttemptId attempt, int tokens, String finishReason, long now) {
        if (isReceiving(attempt)) {
            imported(now);
            if (mRelay.nextIndex() == tokens) {
                mOpen.attemptEnded(attempt);
                end(new RequestEffect.Finish(tokens, finishReason));
            } else {
                resume(now);
            }
        }
        return drain();
    }

    /** Takes the failure of a transfer or stream, of its start or of a resumption. */
    public List<RequestEffect> onStreamFailed(AttemptId attempt, StepFailure failure, long now) {
        if (isCurrent(mDecode, attempt)) {
            if (mPhase == RequestPhase.TRANSFERRING) {
                transferFailed(failure, now);
            } else if (mPhase == RequestPhase.STREAMING) {
                streamFailed(failure, now);
            }
        }
        return drain();
    }

    /** Takes a deadline; one of an older generation changes nothing. */
    public List<RequestEffect> onTimer(TimerKind kind, long generation, long now) {
        if (generation == mTimerGeneration && mPhase != RequestPhase.DONE) {
            timerFired(kind, now);
        }
        return drain();
    }

    /** Takes note that the caller has gone, at any step. */
    public List<RequestEffect> onCallerGone(long now) {
        if (mPhase != RequestPhase.DONE) {
            end(
                    new RequestEffect.Refuse(
                            Refusal.of(RefusalReason.CALLER_GONE, ""), mRelay.nextIndex()));
        }
        return drain();
    }

    private void timerFired(TimerKind kind, long now) {
        switch (kind) {
            case PLACE -> placePrefill(now);
            case GRANT -> {
                Placed asked = mPhase == RequestPhase.PLACING_PREFILL ? mPrefill : mDecode;
                mEffects.addAll(mOpen.closeGrant(asked.attempt()));
                tryNextChoice(asked, now);
            }
            case PREFILL_START -> startPrefill(now);
            case PREFILL -> prefillFailed(StepFailure.TIMED_OUT, now);
            case TRANSFER -> transferFailed(StepFailure.STALLED, now);
            case SILENCE -> silenceFired(now);
            default -> Invariants.require(false, () -> "timer " + kind);
        }
    }

    // Placement

    private void placePrefill(long now) {
        mPhase = RequestPhase.PLACING_PREFILL;
        mDecode = null;
        Either<Refusal, List<Choice>> ranked =
                mEnvironment.rankPrefill(mShape, mRelay.nextIndex(), excluded(), now);
        if (ranked.isLeft()) {
            noPlace(ranked.getLeft(), now);
            return;
        }
        Choice choice = ranked.get().get(0);
        AttemptId attempt = mEnvironment.newAttempt();
        mPrefill = new Placed(attempt, choice, now + choice.predictedMillis());
        if (mEnvironment.usesGrants()) {
            askGrant(mPrefill, BackendRole.PREFILL, 0, now);
        } else {
            startPlacingDecode(now);
        }
    }

    private void startPlacingDecode(long now) {
        mDecodeChoices = 0;
        placeDecode(now);
    }

    private void placeDecode(long now) {
        mPhase = RequestPhase.PLACING_DECODE;
        long neededIn = Math.max(0, mPrefill.readyAt() - now);
        Either<Refusal, List<Choice>> ranked =
                mEnvironment.rankDecode(mShape, mPrefill.backend(), neededIn, excluded(), now);
        if (ranked.isLeft()) {
            noPlace(ranked.getLeft(), now);
            return;
        }
        Choice choice = ranked.get().get(0);
        mDecode = new Placed(mEnvironment.newAttempt(), choice, mPrefill.readyAt());
        mDecodeChoices++;
        if (mEnvironment.usesGrants()) {
            askGrant(mDecode, BackendRole.DECODE, neededIn, now);
        } else {
            startPrefill(now);
        }
    }

    private void askGrant(Placed placed, BackendRole role, long neededIn, long now) {
        int generated = mRelay.nextIndex();
        Choice choice = placed.choice();
        long tokens = mShape.promptTokens() + (long) generated;
        long grown = role == BackendRole.DECODE ? tokens + choice.uncachedTokens() : tokens;
        GrantAsk ask =
                new GrantAsk(
                        placed.attempt(),
                        placed.backend(),
                        role,
                        choice.uncachedTokens(),
                        BackendSpec.piecesFor(grown),
                        mShape.kvBytes(generated),
                        neededIn,
                        Math.max(0, mPlaceBy - now),
                        choice.holdMillis());
        // Held from the ask on: the owner may have granted although its answer is lost.
        mOpen.openGrant(placed.attempt(), placed.backend());
        mEffects.add(new RequestEffect.AskGrant(ask));
        setTimer(TimerKind.GRANT, mSettings.grantMillis());
    }

    private void grantRefused(GrantAnswer answer, long now) {
        Placed asked = mPhase == RequestPhase.PLACING_PREFILL ? mPrefill : mDecode;
        mOpen.grantRefused(answer.attempt());
        if (answer.decision() == GrantDecision.TOO_LATE) {
            mSoonestMillis = Math.min(mSoonestMillis, answer.startInMillis());
        }
        tryNextChoice(asked, now);
    }

    private void tryNextChoice(Placed refused, long now) {
        mRefused.add(refused.backend());
        boolean decode = mPhase == RequestPhase.PLACING_DECODE;
        if (now >= mPlaceBy || decode && mDecodeChoices >= mSettings.maxDecodeChoices()) {
            noPlace(tooLate(), now);
            return;
        }
        mEffects.add(new RequestEffect.CountRetry(RetryReason.GRANT_REFUSED));
        if (decode) {
            placeDecode(now);
        } else {
            placePrefill(now);
        }
    }

    private void awaitPrefillStart(long now) {
        long wait = mDecode.readyAt() - mPrefill.readyAt();
        if (wait <= 0) {
            startPrefill(now);
            return;
        }
        mPhase = RequestPhase.WAITING;
        setTimer(TimerKind.PREFILL_START, wait);
    }

    /**
     * Refuses a fresh request at once; one that lost its backend server is placed again a little
     * later, as long as recovery may take. Its caller may have half an answer already.
     */
    private void noPlace(Refusal refusal, long now) {
        boolean recovering = mPlacements > 0 && refusal.reason().waitingHelps();
        if (!recovering || now + PLACE_PAUSE_MILLIS >= mPlaceBy) {
            endRefused(placementRefusal(refusal));
            return;
        }
        mPhase = RequestPhase.REPLACING;
        mEffects.addAll(mOpen.closeAll());
        mRefused.clear();
        setTimer(TimerKind.PLACE, PLACE_PAUSE_MILLIS);
    }

    /** A ranking without choices after owners refused means too late, not that none exist. */
    private Refusal placementRefusal(Refusal ranking) {
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

    private Set<BackendId> excluded() {
        Set<BackendId> both = new HashSet<>(mFailed);
        both.addAll(mRefused);
        return both;
    }

    // Prefill

    private void startPrefill(long now) {
        mPhase = RequestPhase.PREFILLING;
        mPlacements++;
        mOpen.openAttempt(mPrefill.attempt(), mPrefill.backend());
        long predicted = Math.max(0, mPrefill.readyAt() - now);
        long timeout = 2 * predicted + mSettings.prefillSlackMillis();
        mEffects.add(
                new RequestEffect.StartPrefill(
                        mPrefill.attempt(), mPrefill.backend(), mRelay.sent(), timeout));
        setTimer(TimerKind.PREFILL, timeout);
    }

    private void prefillFailed(StepFailure failure, long now) {
        noteFailure(mPrefill, failure, failure == StepFailure.BROKEN, now);
        RetryReason reason =
                switch (failure) {
                    case FULL -> RetryReason.ENGINE_FULL;
                    case UNREACHABLE -> RetryReason.CONNECT_FAILED;
                    default -> RetryReason.PREFILL_FAILED;
                };
        placeAgain(mPrefill, reason, now);
    }

    // Transfer and decode

    private void startDecode(long now) {
        mPhase = RequestPhase.TRANSFERRING;
        mOpen.openAttempt(mDecode.attempt(), mDecode.backend());
        mLastProgress = now;
        mEffects.add(
                new RequestEffect.StartDecode(
                        mDecode.attempt(),
                        mDecode.backend(),
                        mPrefill.attempt(),
                        mPrefill.backend(),
                        mRelay.nextIndex(),
                        mShape.maxTokens() - mRelay.nextIndex(),
                        mSettings.transferMillis()));
        setTimer(TimerKind.TRANSFER, mSettings.transferMillis());
    }

    private void transferFailed(StepFailure failure, long now) {
        if (failure == StepFailure.EVICTED || now >= mResultUntil) {
            noteFailure(mDecode, failure, failure == StepFailure.UNKNOWN_ATTEMPT, now);
            placeAgain(mDecode, RetryReason.RESULT_EVICTED, now);
            return;
        }
        noteFailure(mDecode, failure, failure == StepFailure.UNKNOWN_ATTEMPT, now);
        mFailed.add(mDecode.backend());
        RetryReason reason =
                failure == StepFailure.FULL
                        ? RetryReason.ENGINE_FULL
                        : RetryReason.TRANSFER_STALLED;
        mEffects.addAll(mOpen.close(mDecode.attempt()));
        if (!retryAllowed(reason, now)) {
            return;
        }
        decodeElsewhere(now);
    }

    /** Uses the same result while it lives; there is no time left to ask for a grant. */
    private void decodeElsewhere(long now) {
        Either<Refusal, List<Choice>> ranked =
                mEnvironment.rankDecode(mShape, mPrefill.backend(), 0, mFailed, now);
        if (ranked.isLeft()) {
            endRefused(placementRefusal(ranked.getLeft()));
            return;
        }
        mDecode = new Placed(mEnvironment.newAttempt(), ranked.get().get(0), now);
        startDecode(now);
    }

    private void imported(long now) {
        mLastProgress = now;
        if (mPhase != RequestPhase.TRANSFERRING) {
            return;
        }
        mPhase = RequestPhase.STREAMING;
        mUnusedTokens = 0;
        mOpen.attemptEnded(mPrefill.attempt());
        mEffects.addAll(mOpen.closeGrant(mPrefill.attempt()));
        setTimer(TimerKind.SILENCE, mSettings.silenceMillis());
    }

    private void relay(int index, String text, long now) {
        switch (mRelay.offer(index, text)) {
            case NEXT -> {
                mResumes = 0;
                mEffects.add(new RequestEffect.Emit(index, text));
            }
            case GAP -> resume(now);
            default -> {
                // A duplicate: the caller has it already.
            }
        }
    }

    private void silenceFired(long now) {
        long silent = now - mLastProgress;
        if (silent >= mSettings.silenceMillis()) {
            resume(now);
        } else {
            setTimer(TimerKind.SILENCE, mSettings.silenceMillis() - silent);
        }
    }

    private void resume(long now) {
        mResumes++;
        if (mResumes > MAX_RESUMES_WITHOUT_TOKEN) {
            placeAgain(mDecode, RetryReason.DECODE_LOST, now);
            return;
        }
        mLastProgress = now;
        mEffects.add(new RequestEffect.CountRetry(RetryReason.STREAM_RESUMED));
        mEffects.add(
                new RequestEffect.Resume(mDecode.attempt(), mDecode.backend(), mRelay.nextIndex()));
        setTimer(TimerKind.SILENCE, mSettings.silenceMillis());
    }

    private void streamFailed(StepFailure failure, long now) {
        if (failure == StepFailure.BROKEN || failure == StepFailure.TIMED_OUT) {
            resume(now);
            return;
        }
        boolean died = failure == StepFailure.UNREACHABLE || failure == StepFailure.UNKNOWN_ATTEMPT;
        noteFailure(mDecode, failure, died, now);
        placeAgain(mDecode, RetryReason.DECODE_LOST, now);
    }

    // Endings

    /**
     * Notes what a failure says about the backend server.
     *
     * <p>A strike is given only if the request was running there: one that never got a connection
     * can't have crashed the server, and a cut between failure domains would else strike all.
     */
    private void noteFailure(Placed placed, StepFailure failure, boolean died, long now) {
        if (failure == StepFailure.UNREACHABLE) {
            mEnvironment.backendUnreached(placed.backend(), now);
        }
        if (died) {
            mEnvironment.backendDied(mShape, placed.backend(), now);
        }
    }

    private void placeAgain(Placed culprit, RetryReason reason, long now) {
        mFailed.add(culprit.backend());
        mRefused.clear();
        mSoonestMillis = Long.MAX_VALUE;
        countWaste();
        mEffects.addAll(mOpen.closeAll());
        if (retryAllowed(reason, now)) {
            mResumes = 0;
            mPlaceBy = now + mSettings.recoveryMillis();
            placePrefill(now);
        }
    }

    private boolean retryAllowed(RetryReason reason, long now) {
        if (mPlacements >= mSettings.maxPlacements()) {
            endRefused(
                    Refusal.of(
                            RefusalReason.BACKEND_FAILED,
                            mPlacements + " placements failed, the last by " + reason.code()));
            return false;
        }
        if (!mEnvironment.mayRetry(mShape, reason, now)) {
            endRefused(Refusal.of(RefusalReason.RETRY_BUDGET_EMPTY, reason.code()));
            return false;
        }
        mEffects.add(new RequestEffect.CountRetry(reason));
        return true;
    }

    private void endRefused(Refusal refusal) {
        end(new RequestEffect.Refuse(refusal, mRelay.nextIndex()));
    }

    private void end(RequestEffect last) {
        Invariants.require(
                mPhase != RequestPhase.DONE, () -> mShape.id() + " ended twice, now " + last);
        mPhase = RequestPhase.DONE;
        mTimerGeneration++;
        countWaste();
        mEffects.addAll(mOpen.closeAll());
        mEffects.add(last);
        Invariants.require(mOpen.isEmpty(), () -> mShape.id() + " ended with open work");
    }

    private void countWaste() {
        if (mUnusedTokens > 0) {
            mEffects.add(new RequestEffect.CountWaste(mUnusedTokens));
            mUnusedTokens = 0;
        }
    }

    private void setTimer(TimerKind kind, long delay) {
        mTimerGeneration++;
        mEffects.add(new RequestEffect.SetTimer(kind, mTimerGeneration, delay));
    }

    private static boolean isCurrent(Placed placed, AttemptId attempt) {
        return placed != null && placed.attempt().equals(attempt);
    }

    /** An event of a stream that is over comes late; acting on it would answer twice. */
    private boolean isReceiving(AttemptId attempt) {
        boolean receiving = mPhase == RequestPhase.TRANSFERRING || mPhase == RequestPhase.STREAMING;
        return receiving && isCurrent(mDecode, attempt);
    }

    private boolean isOpen(AttemptId attempt) {
        return mPhase != RequestPhase.DONE
                && (isCurrent(mPrefill, attempt) || isCurrent(mDecode, attempt));
    }

    private List<RequestEffect> drain() {
        List<RequestEffect> effects = mEffects;
        mEffects = new ArrayList<>();
        return effects;
    }
}
