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
 * State machine of one model request from its arrival to its single final effect.
 *
 * <p>Capacity is reserved on both engines before the prefill starts, since a prefill result without
 * a decode slot is evicted within a second. Every event names its attempt; events of abandoned
 * attempts are late and ignored. Not thread-safe.
 */
public final class RequestMachine {

    private static final int MAX_RESUMES_WITHOUT_TOKEN = 3;
    private static final long PLACEMENT_RETRY_MILLIS = 100;

    /** Maximum number of pauses of a new request while ledgers change owner. */
    private static final int MAX_OWNERSHIP_WAITS = 6;

    /** Maximum wait of a prefill result for its slot; engines retain it for about 800 ms. */
    private static final long MAX_RESULT_WAIT_MILLIS = 500;

    /** Pause before the next attempt on a decode server whose promised slot is late. */
    private static final long SLOT_RETRY_MILLIS = 15;

    private final RequestShape mShape;
    private final RequestSettings mSettings;
    private final RequestEnvironment mEnvironment;
    private final TokenSequencer mSequencer = new TokenSequencer();
    private final HeldResources mHeld = new HeldResources();
    private final PlacementRound mRound;

    private List<RequestEffect> mEffects = new ArrayList<>();
    private RequestPhase mPhase = RequestPhase.NEW;
    private long mResultExpiresAtMillis;
    private int mUnusedPrefillTokens;
    private int mPlacements;
    private int mResumes;
    private int mOwnershipWaits;
    private long mTimerGeneration;
    private long mLastProgressMillis;

    /**
     * Creates the state machine of a request.
     *
     * @param shape the request
     * @param settings limits of its steps
     * @param environment access to the host's shared state
     */
    public RequestMachine(
            RequestShape shape, RequestSettings settings, RequestEnvironment environment) {
        mShape = shape;
        mSettings = settings;
        mEnvironment = environment;
        mRound = new PlacementRound(shape, environment, settings.maxDecodeChoices());
    }

    /** Returns the current phase of the request. */
    public RequestPhase phase() {
        return mPhase;
    }

    /** Returns the number of tokens sent to the caller. */
    public int tokensSent() {
        return mSequencer.nextIndex();
    }

    /** Admits and places the request; called once. */
    public List<RequestEffect> start(long now) {
        Invariants.require(mPhase == RequestPhase.NEW, () -> mShape.id() + " started twice");
        mRound.begin(now + mShape.firstTokenMillis());
        mEnvironment
                .admit(mShape, now)
                .ifPresentOrElse(this::refuse, () -> selectPrefillServer(now));
        return takeEffects();
    }

    /** Handles an owner's response to a grant request. */
    public List<RequestEffect> onGrantResponse(GrantResponse response, long now) {
        boolean granted = response.decision() == GrantDecision.GRANTED;
        if (!awaitsGrant(response.attempt())) {
            if (granted && !isHeld(response.attempt())) {
                mEffects.add(
                        new RequestEffect.ReleaseGrant(response.attempt(), response.backend()));
            }
        } else if (!granted) {
            mHeld.removeGrant(response.attempt());
            tryNextChoice(response.backend(), Optional.of(response), now);
        } else if (mPhase == RequestPhase.PLACING_PREFILL) {
            mRound.prefillGranted(response, now);
            selectDecodeServer(now);
        } else {
            schedulePrefill(mRound.decodeGranted(response, now), now);
        }
        return takeEffects();
    }

    /**
     * Handles the completion of a prefill.
     *
     * @param computedTokens tokens computed, without those from the prefix cache
     * @param resultMillis time until the result is evicted, from now
     */
    public List<RequestEffect> onPrefillDone(
            AttemptId attempt, int computedTokens, long resultMillis, long now) {
        if (mPhase == RequestPhase.PREFILLING && mRound.isPrefill(attempt)) {
            mUnusedPrefillTokens = computedTokens;
            mResultExpiresAtMillis = now + resultMillis;
            startDecode(now);
        }
        return takeEffects();
    }

    /** Handles the failure of a prefill. */
    public List<RequestEffect> onPrefillFailed(AttemptId attempt, StepFailure failure, long now) {
        if (mPhase == RequestPhase.PREFILLING && mRound.isPrefill(attempt)) {
            prefillFailed(failure, now);
        }
        return takeEffects();
    }

    /** Handles the completion of a transfer. */
    public List<RequestEffect> onImported(AttemptId attempt, long now) {
        if (isReceiving(attempt)) {
            imported(now);
        }
        return takeEffects();
    }

    /** Handles a token. */
    public List<RequestEffect> onToken(AttemptId attempt, int index, String text, long now) {
        if (isReceiving(attempt)) {
            imported(now);
            relay(index, text, now);
        }
        return takeEffects();
    }

    /** Handles the engine's end-of-stream event. */
    public List<RequestEffect> onEnd(AttemptId attempt, int tokens, String finishReason, long now) {
        if (isReceiving(attempt)) {
            imported(now);
            if (mSequencer.nextIndex() == tokens) {
                mHeld.removeAttempt(attempt);
                end(new RequestEffect.Finish(tokens, finishReason));
            } else {
                resume(now);
            }
        }
        return takeEffects();
    }

    /** Handles the failure of a transfer or stream, at its start or on resumption. */
    public List<RequestEffect> onStreamFailed(AttemptId attempt, StepFailure failure, long now) {
        if (mRound.isDecode(attempt)) {
            if (mPhase == RequestPhase.TRANSFERRING) {
                transferFailed(failure, now);
            } else if (mPhase == RequestPhase.STREAMING) {
                streamFailed(failure, now);
            }
        }
        return takeEffects();
    }

    /** Handles the expiry of a timer; one of an older generation is ignored. */
    public List<RequestEffect> onTimer(TimerKind kind, long generation, long now) {
        if (generation == mTimerGeneration && mPhase != RequestPhase.DONE) {
            timerFired(kind, now);
        }
        return takeEffects();
    }

    /** Handles the disconnection of the caller, in any phase. */
    public List<RequestEffect> onCallerDisconnected(long now) {
        if (mPhase != RequestPhase.DONE) {
            end(
                    new RequestEffect.Refuse(
                            Refusal.of(RefusalReason.CALLER_GONE, ""), mSequencer.nextIndex()));
        }
        return takeEffects();
    }

    private void timerFired(TimerKind kind, long now) {
        switch (kind) {
            case PLACE -> selectPrefillServer(now);
            case GRANT -> {
                PlacedAttempt pending =
                        mPhase == RequestPhase.PLACING_PREFILL ? mRound.prefill() : mRound.decode();
                mEffects.addAll(mHeld.releaseGrant(pending.attempt()));
                tryNextChoice(pending.backend(), Optional.empty(), now);
            }
            case PREFILL_START -> startPrefill(now);
            case SLOT -> startDecode(now);
            case PREFILL -> prefillFailed(StepFailure.TIMED_OUT, now);
            case TRANSFER -> transferFailed(StepFailure.STALLED, now);
            case SILENCE -> silenceTimedOut(now);
            default -> Invariants.require(false, () -> "unknown timer kind " + kind);
        }
    }

    // Placement

    private void selectPrefillServer(long now) {
        mPhase = RequestPhase.PLACING_PREFILL;
        mRound.selectPrefillServer(mSequencer.nextIndex(), now)
                .peekLeft(refusal -> placementFailed(refusal, now))
                .peek(
                        grantRequest ->
                                grantRequest.ifPresentOrElse(
                                        this::requestGrant, () -> selectDecodeServer(now)));
    }

    private void selectDecodeServer(long now) {
        mPhase = RequestPhase.PLACING_DECODE;
        mRound.selectDecodeServer(mSequencer.nextIndex(), now)
                .peekLeft(refusal -> placementFailed(refusal, now))
                .peek(
                        grantRequest ->
                                grantRequest.ifPresentOrElse(
                                        this::requestGrant, () -> startPrefill(now)));
    }

    private void requestGrant(GrantRequest grantRequest) {
        // Held from the request on: the owner may have granted it although its response is lost.
        mHeld.addGrant(grantRequest.attempt(), grantRequest.backend());
        mEffects.add(new RequestEffect.RequestGrant(grantRequest));
        setTimer(TimerKind.GRANT, mSettings.grantMillis());
    }

    private void tryNextChoice(BackendId refused, Optional<GrantResponse> response, long now) {
        Optional<Refusal> finalRefusal = mRound.recordRefusal(refused, response, now);
        if (finalRefusal.isPresent()) {
            placementFailed(finalRefusal.get(), now);
            return;
        }
        mEffects.add(new RequestEffect.CountRetry(RetryReason.GRANT_REFUSED));
        if (mPhase == RequestPhase.PLACING_DECODE) {
            selectDecodeServer(now);
        } else {
            selectPrefillServer(now);
        }
    }

    /**
     * Starts the prefill at once, unless its result would be evicted before the slot is free.
     *
     * <p>Slots often become free earlier than promised; a request that waited for the promised time
     * would leave them idle.
     */
    private void schedulePrefill(long slotAfterResultMillis, long now) {
        long wait = slotAfterResultMillis - MAX_RESULT_WAIT_MILLIS;
        if (wait <= 0) {
            startPrefill(now);
            return;
        }
        mPhase = RequestPhase.WAITING;
        setTimer(TimerKind.PREFILL_START, wait);
    }

    /**
     * Refuses a new request at once, except in two cases in which placement is retried a little
     * later.
     *
     * <p>A request that lost its backend server may wait as long as recovery may take: its caller
     * may already have half of the response. And where owners neither granted nor announced a time,
     * ledgers are moving to another host, which takes some 100 ms; refusing during that time would
     * fail requests at each planned restart of a host.
     */
    private void placementFailed(Refusal refusal, long now) {
        boolean recovering = mPlacements > 0 && refusal.reason().retryable();
        boolean changingOwner =
                mRound.refusedWithoutStartTime() && ++mOwnershipWaits <= MAX_OWNERSHIP_WAITS;
        if (!(recovering || changingOwner) || mRound.pastDeadline(now + PLACEMENT_RETRY_MILLIS)) {
            refuse(refusal);
            return;
        }
        mPhase = RequestPhase.AWAITING_BACKEND;
        mEffects.addAll(mHeld.releaseAll());
        mRound.clearRefusals();
        setTimer(TimerKind.PLACE, PLACEMENT_RETRY_MILLIS);
    }

    // Prefill

    private void startPrefill(long now) {
        mPhase = RequestPhase.PREFILLING;
        mPlacements++;
        PlacedAttempt prefill = mRound.prefill();
        mHeld.addAttempt(prefill.attempt(), prefill.backend());
        long predicted = Math.max(0, prefill.readyAtMillis() - now);
        long timeout = 2 * predicted + mSettings.prefillSlackMillis();
        mEffects.add(
                new RequestEffect.StartPrefill(
                        prefill.attempt(), prefill.backend(), mSequencer.sent(), timeout));
        setTimer(TimerKind.PREFILL, timeout);
    }

    private void prefillFailed(StepFailure failure, long now) {
        recordFailure(mRound.prefill(), failure, failure.prefillIndicatesCrash(), now);
        retryPlacement(mRound.prefill(), failure.prefillReason(), now);
    }

    // Transfer and decode

    private void startDecode(long now) {
        mPhase = RequestPhase.TRANSFERRING;
        PlacedAttempt decode = mRound.decode();
        mHeld.addAttempt(decode.attempt(), decode.backend());
        mLastProgressMillis = now;
        mEffects.add(
                new RequestEffect.StartDecode(
                        decode.attempt(),
                        decode.backend(),
                        mRound.prefill().attempt(),
                        mRound.prefill().backend(),
                        mSequencer.nextIndex(),
                        mShape.maxTokens(),
                        mSettings.transferMillis()));
        setTimer(TimerKind.TRANSFER, mSettings.transferMillis());
    }

    private void transferFailed(StepFailure failure, long now) {
        PlacedAttempt decode = mRound.decode();
        recordFailure(decode, failure, failure.transferIndicatesLostState(), now);
        if (failure == StepFailure.EVICTED || now >= mResultExpiresAtMillis) {
            retryPlacement(decode, RetryReason.RESULT_EVICTED, now);
            return;
        }
        if (failure == StepFailure.FULL) {
            retryLateSlot(now);
            return;
        }
        mRound.exclude(decode.backend());
        mEffects.addAll(mHeld.release(decode.attempt()));
        if (retryAllowed(failure.transferReason(), now)) {
            mRound.selectOtherDecodeServer(now)
                    .peekLeft(this::refuse)
                    .peek(placed -> startDecode(now));
        }
    }

    /**
     * Retries the decode while the prefill result exists.
     *
     * <p>The engine started nothing, so this takes no retry from the budget. Abandoning the result
     * because a slot became free some 10 ms late would waste its prefill.
     */
    private void retryLateSlot(long now) {
        mHeld.removeAttempt(mRound.decode().attempt());
        mEffects.add(new RequestEffect.CountRetry(RetryReason.ENGINE_FULL));
        // With grants no other server is tried: an attempt without a grant takes a slot promised to
        // another request, which then is late as well, until promises no longer hold.
        if (!mEnvironment.usesGrants()) {
            mRound.selectDecodeServerAfterFull(now);
        }
        setTimer(TimerKind.SLOT, SLOT_RETRY_MILLIS);
    }

    private void imported(long now) {
        mLastProgressMillis = now;
        if (mPhase != RequestPhase.TRANSFERRING) {
            return;
        }
        mPhase = RequestPhase.STREAMING;
        mUnusedPrefillTokens = 0;
        mHeld.removeAttempt(mRound.prefill().attempt());
        mEffects.addAll(mHeld.releaseGrant(mRound.prefill().attempt()));
        setTimer(TimerKind.SILENCE, mSettings.silenceMillis());
    }

    private void relay(int index, String text, long now) {
        switch (mSequencer.offer(index, text)) {
            case NEXT -> {
                mResumes = 0;
                mEffects.add(new RequestEffect.Emit(index, text));
            }
            case GAP -> resume(now);
            default -> {
                // A duplicate: the caller already has it.
            }
        }
    }

    private void silenceTimedOut(long now) {
        long silentMillis = now - mLastProgressMillis;
        if (silentMillis >= mSettings.silenceMillis()) {
            resume(now);
        } else {
            setTimer(TimerKind.SILENCE, mSettings.silenceMillis() - silentMillis);
        }
    }

    private void resume(long now) {
        mResumes++;
        if (mResumes > MAX_RESUMES_WITHOUT_TOKEN) {
            retryPlacement(mRound.decode(), RetryReason.DECODE_LOST, now);
            return;
        }
        mLastProgressMillis = now;
        mEffects.add(new RequestEffect.CountRetry(RetryReason.STREAM_RESUMED));
        mEffects.add(
                new RequestEffect.Resume(
                        mRound.decode().attempt(),
                        mRound.decode().backend(),
                        mSequencer.nextIndex()));
        setTimer(TimerKind.SILENCE, mSettings.silenceMillis());
    }

    private void streamFailed(StepFailure failure, long now) {
        if (failure == StepFailure.BROKEN || failure == StepFailure.TIMED_OUT) {
            resume(now);
            return;
        }
        boolean crashed =
                failure == StepFailure.UNREACHABLE || failure == StepFailure.UNKNOWN_ATTEMPT;
        recordFailure(mRound.decode(), failure, crashed, now);
        retryPlacement(mRound.decode(), RetryReason.DECODE_LOST, now);
    }

    // Endings

    /**
     * Records what a failure indicates about the backend server.
     *
     * <p>A strike is recorded only if the request was running there: a request that never got a
     * connection cannot have crashed the server, and otherwise a network partition between failure
     * domains would strike all requests.
     */
    private void recordFailure(
            PlacedAttempt placed, StepFailure failure, boolean crashed, long now) {
        if (failure == StepFailure.UNREACHABLE) {
            mEnvironment.backendUnreachable(placed.backend(), now);
        }
        if (crashed) {
            mEnvironment.backendCrashed(mShape, placed.backend(), now);
        }
    }

    private void retryPlacement(PlacedAttempt failed, RetryReason reason, long now) {
        mRound.exclude(failed.backend());
        countWastedPrefill();
        mEffects.addAll(mHeld.releaseAll());
        if (retryAllowed(reason, now)) {
            mResumes = 0;
            mRound.begin(now + mSettings.recoveryMillis());
            selectPrefillServer(now);
        }
    }

    private boolean retryAllowed(RetryReason reason, long now) {
        if (mPlacements >= mSettings.maxPlacements()) {
            refuse(
                    Refusal.of(
                            RefusalReason.BACKEND_FAILED,
                            mPlacements + " placements failed, the last by " + reason.code()));
            return false;
        }
        if (!mEnvironment.tryAcquireRetry(mShape, reason, now)) {
            refuse(Refusal.of(RefusalReason.RETRY_BUDGET_EMPTY, reason.code()));
            return false;
        }
        mEffects.add(new RequestEffect.CountRetry(reason));
        return true;
    }

    private void refuse(Refusal refusal) {
        end(new RequestEffect.Refuse(refusal, mSequencer.nextIndex()));
    }

    private void end(RequestEffect finalEffect) {
        Invariants.require(
                mPhase != RequestPhase.DONE,
                () -> mShape.id() + " ended twice, now " + finalEffect);
        mPhase = RequestPhase.DONE;
        mTimerGeneration++;
        countWastedPrefill();
        mEffects.addAll(mHeld.releaseAll());
        mEffects.add(finalEffect);
        Invariants.require(mHeld.isEmpty(), () -> mShape.id() + " ended with unreleased resources");
    }

    private void countWastedPrefill() {
        if (mUnusedPrefillTokens > 0) {
            mEffects.add(new RequestEffect.CountWastedPrefill(mUnusedPrefillTokens));
            mUnusedPrefillTokens = 0;
        }
    }

    private void setTimer(TimerKind kind, long delay) {
        mTimerGeneration++;
        mEffects.add(new RequestEffect.SetTimer(kind, mTimerGeneration, delay));
    }

    private boolean awaitsGrant(AttemptId attempt) {
        return mPhase == RequestPhase.PLACING_PREFILL && mRound.isPrefill(attempt)
                || mPhase == RequestPhase.PLACING_DECODE && mRound.isDecode(attempt);
    }

    private boolean isHeld(AttemptId attempt) {
        return mPhase != RequestPhase.DONE
                && (mRound.isPrefill(attempt) || mRound.isDecode(attempt));
    }

    /** Late events of an ended stream must be ignored, since handling them would respond twice. */
    private boolean isReceiving(AttemptId attempt) {
        boolean receiving = mPhase == RequestPhase.TRANSFERRING || mPhase == RequestPhase.STREAMING;
        return receiving && mRound.isDecode(attempt);
    }

    private List<RequestEffect> takeEffects() {
        List<RequestEffect> effects = mEffects;
        mEffects = new ArrayList<>();
        return effects;
    }
}
