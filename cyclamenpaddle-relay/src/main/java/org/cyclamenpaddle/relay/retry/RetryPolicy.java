package org.cyclamenpaddle.relay.retry;

import java.util.function.BooleanSupplier;
import org.cyclamenpaddle.core.invariant.Invariants;
import org.cyclamenpaddle.relay.backend.SendOutcome;

/**
 * Retry policy of one request: decides whether it is sent again and which reply its caller gets.
 *
 * <p>Both depend only on the outcomes of the sends. A request that is not repeatable is never sent
 * again after a send that may have reached a server, and a caller gets "not run" only if no send
 * may have run. Not thread-safe.
 */
public final class RetryPolicy {

    /** Minimum remaining time for another send, in milliseconds: the duration of a short call. */
    static final long MIN_REMAINING_MILLIS = 20;

    /**
     * Number of sends that could not leave this host after which the request ends; its own network
     * is then the likely cause.
     */
    static final int MAX_UNSENT_SENDS = 4;

    /**
     * Maximum number of times that a request resumes on a server that broke its connection: if two
     * of five responses are lost, one request in sixteen is still without a response then.
     */
    static final int MAX_RESUMES_ON_SAME_BACKEND = 2;

    private final RetryLimits mLimits;
    private final long mStartMillis;
    private int mSends;
    private int mUnsent;
    private int mResumes;
    private int mSendsInFlight;
    private boolean mMayHaveRun;
    private boolean mForwarding;
    private boolean mEnded;
    private boolean mServerUnreached;
    private RetryBarrier mBarrier = RetryBarrier.NONE;

    /**
     * Creates the policy of a request that has just arrived.
     *
     * @param limits its limits
     * @param nowMillis current time of the steady clock
     */
    public RetryPolicy(RetryLimits limits, long nowMillis) {
        mLimits = limits;
        mStartMillis = nowMillis;
    }

    /** Returns the time left until the timeout of the request, in milliseconds; never negative. */
    public long remainingMillis(long nowMillis) {
        return Math.max(0, mStartMillis + mLimits.timeoutMillis() - nowMillis);
    }

    /** Records that the request is being sent to a backend server. */
    public void beginSend() {
        Invariants.require(
                mSendsInFlight == 0 && !mEnded,
                () -> "request sent while another send is in progress, or after its end");
        Invariants.require(
                mSends < mLimits.maxAttempts(),
                () -> "request sent more often than its " + mLimits.maxAttempts() + " attempts");
        Invariants.require(
                !mMayHaveRun || mLimits.repeatable(),
                () -> "request sent again although it may have run and is not repeatable");
        mSendsInFlight++;
        mSends++;
    }

    /** Records that the request is being sent to a second server beside the first one. */
    public void beginSecondSend() {
        Invariants.require(
                mSendsInFlight == 1 && !mEnded,
                () -> "second send without a first one in progress, or after the end");
        Invariants.require(
                hasAttemptsLeft() && mLimits.repeatable(),
                () -> "second send of a request that its route does not allow");
        mSendsInFlight++;
        mSends++;
    }

    /** Records the end of one of two sends in progress; the other one goes on. */
    public void endOneOfTwo(SendOutcome outcome) {
        Invariants.require(mSendsInFlight == 2, () -> "no second send in progress");
        mSendsInFlight--;
        if (outcome.unsent()) {
            mSends--;
        }
        mMayHaveRun |= outcome.mayHaveRun();
    }

    /**
     * Decides whether a rejected request is sent to the same backend server again; the current send
     * then continues.
     *
     * <p>The limit on attempts counts servers, so this consumes no attempt; the shared budget
     * counts every send.
     *
     * @param nowMillis current time of the steady clock
     * @param budget takes one retry from the shared budget; false if there is none left
     * @return whether the request is sent again
     */
    public boolean resendToSameBackend(long nowMillis, BooleanSupplier budget) {
        Invariants.require(mSendsInFlight == 1, () -> "request resent without a send in progress");
        return remainingMillis(nowMillis) >= MIN_REMAINING_MILLIS && budget.getAsBoolean();
    }

    /**
     * Returns whether a request whose connection broke may resume on the same backend server.
     *
     * <p>Like {@link #resendToSameBackend}, this consumes no attempt; unlike there, the server has
     * run the request, so its route must allow retries, and the number of resumes per request is
     * limited.
     */
    public boolean mayResumeOnSameBackend(long nowMillis) {
        Invariants.require(mSendsInFlight == 1, () -> "request resumed without a send in progress");
        return mLimits.repeatable()
                && mResumes < MAX_RESUMES_ON_SAME_BACKEND
                && remainingMillis(nowMillis) >= MIN_REMAINING_MILLIS;
    }

    /**
     * Records that a request whose connection broke resumes on the same backend server, if the
     * shared budget has a retry left; the current send then continues.
     *
     * @return whether the request resumes
     */
    public boolean resumeOnSameBackend(BooleanSupplier budget) {
        boolean resumes = budget.getAsBoolean();
        if (resumes) {
            mMayHaveRun = true;
            mResumes++;
        }
        return resumes;
    }

    /**
     * Records that the current send is retried to its server after its connection broke; whatever
     * its outcome, the first one may have run.
     */
    public void recordDuplicateSend() {
        Invariants.require(
                mLimits.repeatable(),
                () -> "request that is not repeatable sent twice to one server");
        mMayHaveRun = true;
    }

    /** Records that the caller has received the head of a response. */
    public void beginForwarding() {
        mForwarding = true;
    }

    /** Returns whether the caller has received the head of a response. */
    public boolean isForwarding() {
        return mForwarding;
    }

    /** Returns whether the attempts allow another send after the current one. */
    public boolean hasAttemptsLeft() {
        return mSends < mLimits.maxAttempts();
    }

    /** Returns the number of further sends that the attempts allow. */
    public int attemptsLeft() {
        return mLimits.maxAttempts() - mSends;
    }

    /** Returns whether a backend server may have run the request, or may be running it. */
    public boolean mayHaveRun() {
        return mMayHaveRun || mSendsInFlight > 0;
    }

    /** Returns the number of sends so far, excluding those that were never sent. */
    public int sends() {
        return mSends;
    }

    /**
     * Decides the action that follows a completed send.
     *
     * @param outcome outcome of the send
     * @param nowMillis current time of the steady clock
     * @param budget takes one retry from the shared budget; called only if the request would be
     *     retried
     */
    public RetryDecision endSend(SendOutcome outcome, long nowMillis, BooleanSupplier budget) {
        Invariants.require(mSendsInFlight == 1, () -> "send ended that was not started");
        mSendsInFlight = 0;
        if (outcome.unsent()) {
            mSends--;
            mUnsent++;
        }
        mMayHaveRun |= outcome.mayHaveRun();
        mServerUnreached = outcome.serverSuspect();
        mBarrier = RetryBarrier.NONE;
        if (outcome == SendOutcome.SUCCEEDED) {
            return RetryDecision.PASS_ON;
        }
        mBarrier = barrier(outcome, nowMillis, budget);
        if (mBarrier == RetryBarrier.NONE) {
            return RetryDecision.SEND_AGAIN;
        }
        return outcome == SendOutcome.FAILED && !mForwarding
                ? RetryDecision.PASS_ON
                : RetryDecision.END;
    }

    /**
     * Returns whether the request ends only because too many sends could not leave this host.
     * Another host may then run it.
     */
    public boolean endsUnsent() {
        return mBarrier == RetryBarrier.UNSENT;
    }

    /** Returns whether the server of the last completed send may have crashed or be unreachable. */
    public boolean serverUnreached() {
        return mServerUnreached;
    }

    /** Returns what prevented another send after the last completed one. */
    public RetryBarrier barrier() {
        return mBarrier;
    }

    /**
     * Ends the request without a backend server's response and returns the reply to its caller.
     *
     * @param outcome outcome of the send in progress, {@link SendOutcome#NOT_SENT} if there is none
     * @param nowMillis current time of the steady clock
     */
    public CallerReply reply(SendOutcome outcome, long nowMillis) {
        mEnded = true;
        mMayHaveRun |= outcome.mayHaveRun();
        if (!mMayHaveRun) {
            return CallerReply.NOT_RUN;
        }
        return remainingMillis(nowMillis) == 0 ? CallerReply.TIMED_OUT : CallerReply.FAILED;
    }

    private RetryBarrier barrier(SendOutcome outcome, long nowMillis, BooleanSupplier budget) {
        if (mMayHaveRun && !mLimits.repeatable()) {
            return RetryBarrier.NOT_REPEATABLE;
        }
        if (outcome == SendOutcome.ABANDONED) {
            return RetryBarrier.CALLER_LEFT;
        }
        if (!hasAttemptsLeft()) {
            return RetryBarrier.ATTEMPTS;
        }
        if (mUnsent >= MAX_UNSENT_SENDS) {
            return RetryBarrier.UNSENT;
        }
        if (remainingMillis(nowMillis) < MIN_REMAINING_MILLIS) {
            return RetryBarrier.TIME;
        }
        return mSends == 0 || budget.getAsBoolean() ? RetryBarrier.NONE : RetryBarrier.BUDGET;
    }
}
