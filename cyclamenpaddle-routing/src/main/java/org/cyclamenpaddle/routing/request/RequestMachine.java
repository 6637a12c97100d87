package org.cyclamenpaddle.routing.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cyclamenpaddle.core.id.AttemptId;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.invariant.Invariants;
import org.cyclamenpaddle.core.message.GrantDecision;
import org.cyclamenpaddle.core.message.GrantRequest;
import org.cyclamenpaddle.core.message.GrantResponse;
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
    private static final long PLACE_PAUSE_MILLIS = 100;

    /** Pauses of a fresh request while ledgers move. */
    private static final int MOST_MOVES = 6;

    /** How long a result may wait for its slot; engines keep it for about 800 ms. */
    private static final long RESULT_WAITS_MILLIS = 500;

    /** Pause before a decode server whose promised slot is late is asked again. */
    private static final long SLOT_PAUSE_MILLIS = 15;

    private final RequestShape mShape;
    private final RequestSettings mSettings;
    private final RequestEnvironment mEnvironment;
    private final AnswerRelay mRelay = new AnswerRelay();
    private final OpenWork mOpen = new OpenWork();
    private final PlacementRound mRound;

    private List<RequestEffect> mEffects = new ArrayList<>();
    private RequestPhase mPhase = RequestPhase.NEW;
    private long mResultUntil;
    private int mUnusedTokens;
    private int mPlacements;
    private int mResumes;
    private int mMoves;
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
        mRound = new PlacementRound(shape, environment, settings.maxDecodeChoices());
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
        mRound.begin(now + mShape.firstTokenMillis());
        mEnvironment.admit(mShape, now).ifPresentOrElse(this::endRefused, () -> placePrefill(now));
        return drain();
    }

    /** Takes an owner's answer. */
    public List<RequestEffect> onGrantResponse(GrantResponse answer, long now) {
        boolean granted = answer.decision() == GrantDecision.GRANTED;
        if (!isAsked(answer.attempt())) {
            if (granted && !isHeld(answer.attempt())) {
                mEffects.add(new RequestEffect.ReleaseGrant(answer.attempt(), answer.backend()));
            }
        } else if (!granted) {
            mOpen.grantRefused(answer.attempt());
            tryNextChoice(answer.backend(), Optional.of(answer), now);
        } else if (mPhase == RequestPhase.PLACING_PREFILL) {
            mRound.prefillGranted(answer, now);
            placeDecode(now);
        } else {
            awaitPrefillStart(mRound.decodeGranted(answer, now), now);
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
        if (mPhase == RequestPhase.PREFILLING && mRound.isPrefill(attempt)) {
            mUnusedTokens = computedTokens;
            mResultUntil = now + resultMillis;
            startDecode(now);
        }
        return drain();
    }

    /** Takes the failure of a prefill. */
    public List<RequestEffect> onPrefillFailed(AttemptId attempt, StepFailure failure, long now) {
        if (mPhase == RequestPhase.PREFILLING && mRound.isPrefill(attempt)) {
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
        if (mRound.isDecode(attempt)) {
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
    public List<RequestEffect> onCallerDisconnected(long now) {
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
                Placed asked =
                        mPhase == RequestPhase.PLACING_PREFILL ? mRound.prefill() : mRound.decode();
                mEffects.addAll(mOpen.closeGrant(asked.attempt()));
                tryNextChoice(asked.backend(), Optional.empty(), now);
            }
            case PREFILL_START -> startPrefill(now);
            case SLOT -> startDecode(now);
            case PREFILL -> prefillFailed(StepFailure.TIMED_OUT, now);
            case TRANSFER -> transferFailed(StepFailure.STALLED, now);
            case SILENCE -> silenceFired(now);
            default -> Invariants.require(false, () -> "timer " + kind);
        }
    }

    // Placement

    private void placePrefill(long now) {
        mPhase = RequestPhase.PLACING_PREFILL;
        mRound.choosePrefill(mRelay.nextIndex(), now)
                .peekLeft(refusal -> noPlace(refusal, now))
                .peek(ask -> ask.ifPresentOrElse(this::askGrant, () -> placeDecode(now)));
    }

    private void placeDecode(long now) {
        mPhase = RequestPhase.PLACING_DECODE;
        mRound.chooseDecode(mRelay.nextIndex(), now)
                .peekLeft(refusal -> noPlace(refusal, now))
                .peek(ask -> ask.ifPresentOrElse(this::askGrant, () -> startPrefill(now)));
    }

    private void askGrant(GrantRequest ask) {
        // Held from the ask on: the owner may have granted although its answer is lost.
        mOpen.openGrant(ask.attempt(), ask.backend());
        mEffects.add(new RequestEffect.RequestGrant(ask));
        setTimer(TimerKind.GRANT, mSettings.grantMillis());
    }

    private void tryNextChoice(BackendId refused, Optional<GrantResponse> answer, long now) {
        Optional<Refusal> last = mRound.refused(refused, answer, now);
        if (last.isPresent()) {
            noPlace(last.get(), now);
            return;
        }
        mEffects.add(new RequestEffect.CountRetry(RetryReason.GRANT_REFUSED));
        if (mPhase == RequestPhase.PLACING_DECODE) {
            placeDecode(now);
        } else {
            placePrefill(now);
        }
    }

    /**
     * Starts the prefill at once, unless its result would die before the slot comes.
     *
     * <p>Slots often come earlier than promised; a request that waited for the promised instant
     * would let them lie idle.
     */
    private void awaitPrefillStart(long slotAfterResult, long now) {
        long wait = slotAfterResult - RESULT_WAITS_MILLIS;
        if (wait <= 0) {
            startPrefill(now);
            return;
        }
        mPhase = RequestPhase.WAITING;
        setTimer(TimerKind.PREFILL_START, wait);
    }

    /**
     * Refuses a fresh request at once, but for two cases in which it is placed again a little
     * later.
     *
     * <p>One that lost its backend server may wait as long as recovery may take: its caller may
     * have half an answer already. And where owners neither granted nor named a time, ledgers are
     * moving to another host, which takes some 100 ms; refusing meanwhile would fail requests at
     * each planned restart of a host.
     */
    private void noPlace(Refusal refusal, long now) {
        boolean recovering = mPlacements > 0 && refusal.reason().retryable();
        boolean moving = mRound.onlyOwnersRefused() && ++mMoves <= MOST_MOVES;
        if (!(recovering || moving) || mRound.late(now + PLACE_PAUSE_MILLIS)) {
            endRefused(refusal);
            return;
        }
        mPhase = RequestPhase.REPLACING;
        mEffects.addAll(mOpen.closeAll());
        mRound.forgetRefusals();
        setTimer(TimerKind.PLACE, PLACE_PAUSE_MILLIS);
    }

    // Prefill

    private void startPrefill(long now) {
        mPhase = RequestPhase.PREFILLING;
        mPlacements++;
        Placed prefill = mRound.prefill();
        mOpen.openAttempt(prefill.attempt(), prefill.backend());
        long predicted = Math.max(0, prefill.readyAt() - now);
        long timeout = 2 * predicted + mSettings.prefillSlackMillis();
        mEffects.add(
                new RequestEffect.StartPrefill(
                        prefill.attempt(), prefill.backend(), mRelay.sent(), timeout));
        setTimer(TimerKind.PREFILL, timeout);
    }

    private void prefillFailed(StepFailure failure, long now) {
        noteFailure(mRound.prefill(), failure, failure.duringPrefillProvesDeath(), now);
        placeAgain(mRound.prefill(), failure.prefillReason(), now);
    }

    // Transfer and decode

    private void startDecode(long now) {
        mPhase = RequestPhase.TRANSFERRING;
        Placed decode = mRound.decode();
        mOpen.openAttempt(decode.attempt(), decode.backend());
        mLastProgress = now;
        mEffects.add(
                new RequestEffect.StartDecode(
                        decode.attempt(),
                        decode.backend(),
                        mRound.prefill().attempt(),
                        mRound.prefill().backend(),
                        mRelay.nextIndex(),
                        mShape.maxTokens(),
                        mSettings.transferMillis()));
        setTimer(TimerKind.TRANSFER, mSettings.transferMillis());
    }

    private void transferFailed(StepFailure failure, long now) {
        Placed decode = mRound.decode();
        noteFailure(decode, failure, failure.duringTransferProvesDeath(), now);
        if (failure == StepFailure.EVICTED || now >= mResultUntil) {
            placeAgain(decode, RetryReason.RESULT_EVICTED, now);
            return;
        }
        if (failure == StepFailure.FULL) {
            slotLate(now);
            return;
        }
        mRound.failed(decode.backend());
        mEffects.addAll(mOpen.close(decode.attempt()));
        if (retryAllowed(failure.transferReason(), now)) {
            mRound.decodeElsewhere(now).peekLeft(this::endRefused).peek(other -> startDecode(now));
        }
    }

    /**
     * Tries again for the result while it lives.
     *
     * <p>The engine started nothing, so this costs no retry of the budget. Giving the result up
     * because a slot came some 10 ms late would waste its prefill.
     */
    private void slotLate(long now) {
        mOpen.attemptEnded(mRound.decode().attempt());
        mEffects.add(new RequestEffect.CountRetry(RetryReason.ENGINE_FULL));
        // With grants never elsewhere: an attempt without one takes a slot that is promised to
        // another request, whose slot then is late too, and so on until promises mean nothing.
        if (!mEnvironment.usesGrants()) {
            mRound.decodeAfterFull(now);
        }
        setTimer(TimerKind.SLOT, SLOT_PAUSE_MILLIS);
    }

    private void imported(long now) {
        mLastProgress = now;
        if (mPhase != RequestPhase.TRANSFERRING) {
            return;
        }
        mPhase = RequestPhase.STREAMING;
        mUnusedTokens = 0;
        mOpen.attemptEnded(mRound.prefill().attempt());
        mEffects.addAll(mOpen.closeGrant(mRound.prefill().attempt()));
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
            placeAgain(mRound.decode(), RetryReason.DECODE_LOST, now);
            return;
        }
        mLastProgress = now;
        mEffects.add(new RequestEffect.CountRetry(RetryReason.STREAM_RESUMED));
        mEffects.add(
                new RequestEffect.Resume(
                        mRound.decode().attempt(), mRound.decode().backend(), mRelay.nextIndex()));
        setTimer(TimerKind.SILENCE, mSettings.silenceMillis());
    }

    private void streamFailed(StepFailure failure, long now) {
        if (failure == StepFailure.BROKEN || failure == StepFailure.TIMED_OUT) {
            resume(now);
            return;
        }
        boolean died = failure == StepFailure.UNREACHABLE || failure == StepFailure.UNKNOWN_ATTEMPT;
        noteFailure(mRound.decode(), failure, died, now);
        placeAgain(mRound.decode(), RetryReason.DECODE_LOST, now);
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
            mEnvironment.backendUnreachable(placed.backend(), now);
        }
        if (died) {
            mEnvironment.backendCrashed(mShape, placed.backend(), now);
        }
    }

    private void placeAgain(Placed culprit, RetryReason reason, long now) {
        mRound.failed(culprit.backend());
        countWaste();
        mEffects.addAll(mOpen.closeAll());
        if (retryAllowed(reason, now)) {
            mResumes = 0;
            mRound.begin(now + mSettings.recoveryMillis());
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
        if (!mEnvironment.tryAcquireRetry(mShape, reason, now)) {
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
            mEffects.add(new RequestEffect.CountWastedPrefill(mUnusedTokens));
            mUnusedTokens = 0;
        }
    }

    private void setTimer(TimerKind kind, long delay) {
        mTimerGeneration++;
        mEffects.add(new RequestEffect.SetTimer(kind, mTimerGeneration, delay));
    }

    private boolean isAsked(AttemptId attempt) {
        return mPhase == RequestPhase.PLACING_PREFILL && mRound.isPrefill(attempt)
                || mPhase == RequestPhase.PLACING_DECODE && mRound.isDecode(attempt);
    }

    private boolean isHeld(AttemptId attempt) {
        return mPhase != RequestPhase.DONE
                && (mRound.isPrefill(attempt) || mRound.isDecode(attempt));
    }

    /** An event of a stream that is over comes late; acting on it would answer twice. */
    private boolean isReceiving(AttemptId attempt) {
        boolean receiving = mPhase == RequestPhase.TRANSFERRING || mPhase == RequestPhase.STREAMING;
        return receiving && mRound.isDecode(attempt);
    }

    private List<RequestEffect> drain() {
        List<RequestEffect> effects = mEffects;
        mEffects = new ArrayList<>();
        return effects;
    }
}
