package org.cyclamenpaddle.relay.retry;

import java.util.function.BooleanSupplier;
import org.cyclamenpaddle.core.invariant.Invariants;
import org.cyclamenpaddle.relay.backend.SendOutcome;

/**
 * Retry policy of one request: what is sent again, and what its caller is told.
 *
 * <p>From the outcomes of the sends alone follow what may be sent again and what the caller may be
 * told. A request that must not repeat is never sent after a send that may have reached a server,
 * and "not run" is said only if no send may have. Not thread-safe.
 */
public final class RetryPolicy {

    /** Least time left that is worth another send, in milliseconds: a short call takes as long. */
    static final long LEAST_USEFUL_MILLIS = 20;

    /** Sends that never left, after which a host gives up: its own paths are the trouble then. */
    static final int MOST_UNSENT = 4;

    /**
     * Times that a request goes on at a server that broke its connection: where two of five answers
     * are lost, one request of sixteen is still without an answer then.
     */
    static final int MOST_GONE_ON_HERE = 2;

    private final RetryLimits mTerms;
    private final long mStartMillis;
    private int mSends;
    private int mUnsent;
    private int mGoneOnHere;
    private boolean mSending;
    private boolean mMayHaveRun;
    private boolean mForwarding;
    private boolean mEnded;

    /**
     * Creates the policy of a request that has just arrived.
     *
     * @param terms its bounds
     * @param nowMillis reading of the clock
     */
    public RetryPolicy(RetryLimits terms, long nowMillis) {
        mTerms = terms;
        mStartMillis = nowMillis;
    }

    /** Returns the time left for the final answer, in milliseconds; never negative. */
    public long remainingMillis(long nowMillis) {
        return Math.max(0, mStartMillis + mTerms.timeoutMillis() - nowMillis);
    }

    /** Notes that the request is handed to a backend server now. */
    public void beginSend() {
        Invariants.require(!mSending && !mEnded, () -> "a request is sent while another send runs");
        Invariants.require(
                mSends < mTerms.maxAttempts(),
                () -> "more sends than " + mTerms.maxAttempts() + " attempts allow");
        Invariants.require(
                !mMayHaveRun || mTerms.repeatable(), () -> "a request is sent that may have run");
        mSending = true;
        mSends++;
    }

    /**
     * Decides whether a rejected request is sent to the same backend server once more; the send
     * that was begun then goes on.
     *
     * <p>The bound on attempts counts servers, so that this uses none up; the shared budget counts
     * every send.
     *
     * @param nowMillis reading of the clock
     * @param budget takes one repeat out of the shared budget
     */
    public boolean resendToSameBackend(long nowMillis, BooleanSupplier budget) {
        Invariants.require(mSending, () -> "a request is sent again that was not sent");
        return remainingMillis(nowMillis) >= LEAST_USEFUL_MILLIS && budget.getAsBoolean();
    }

    /**
     * Returns whether a request whose connection broke may go on at the same backend server.
     *
     * <p>Like {@link #resendToSameBackend} it uses up no attempt; unlike there the server has run
     * it, so that its route must allow repeats, and a server that breaks again and again is left.
     */
    public boolean mayResumeOnSameBackend(long nowMillis) {
        Invariants.require(mSending, () -> "a request goes on that was not sent");
        return mTerms.repeatable()
                && mGoneOnHere < MOST_GONE_ON_HERE
                && remainingMillis(nowMillis) >= LEAST_USEFUL_MILLIS;
    }

    /**
     * Notes that a request whose connection broke goes on at the same backend server, if the shared
     * budget has a repeat left; the send that was begun then goes on.
     */
    public boolean resumeOnSameBackend(BooleanSupplier budget) {
        boolean goesOn = budget.getAsBoolean();
        if (goesOn) {
            mMayHaveRun = true;
            mGoneOnHere++;
        }
        return goesOn;
    }

    /**
     * Notes that the present send is made a second time to its server, after a connection that
     * broke; whatever becomes of it now, the first time may have run.
     */
    public void recordDuplicateSend() {
        Invariants.require(mTerms.repeatable(), () -> "a request is sent twice to one server");
        mMayHaveRun = true;
    }

    /** Notes that the caller has got the head of an answer. */
    public void beginForwarding() {
        mForwarding = true;
    }

    /** Returns whether the caller has got the head of an answer. */
    public boolean isForwarding() {
        return mForwarding;
    }

    /** Returns whether the attempts allow another send after the present one. */
    public boolean hasAttemptsLeft() {
        return mSends < mTerms.maxAttempts();
    }

    /** Returns the sends so far, those that never left not counted. */
    public int sends() {
        return mSends;
    }

    /**
     * Decides what follows a send.
     *
     * @param outcome how it ended
     * @param nowMillis reading of the clock
     * @param budget takes one repeat out of the shared budget; asked only if one would be sent
     */
    public RetryDecision endSend(SendOutcome outcome, long nowMillis, BooleanSupplier budget) {
        Invariants.require(mSending, () -> "a send ends that was not begun");
        mSending = false;
        if (outcome == SendOutcome.NOT_SENT) {
            mSends--;
            mUnsent++;
        }
        mMayHaveRun |= outcome.mayHaveRun();
        if (outcome == SendOutcome.SUCCEEDED) {
            return RetryDecision.PASS_ON;
        }
        if (mayRepeat(outcome, nowMillis) && (mSends == 0 || budget.getAsBoolean())) {
            return RetryDecision.SEND_AGAIN;
        }
        return outcome == SendOutcome.FAILED && !mForwarding
                ? RetryDecision.PASS_ON
                : RetryDecision.END;
    }

    /**
     * Ends the request without a backend server's answer and returns what the caller is told.
     *
     * @param outcome how the send ended that still ran, {@link SendOutcome#NOT_SENT} if none did
     * @param nowMillis reading of the clock
     */
    public CallerReply reply(SendOutcome outcome, long nowMillis) {
        mEnded = true;
        mMayHaveRun |= outcome.mayHaveRun();
        if (!mMayHaveRun) {
            return CallerReply.NOT_RUN;
        }
        return remainingMillis(nowMillis) == 0 ? CallerReply.TIMED_OUT : CallerReply.FAILED;
    }

    private boolean mayRepeat(SendOutcome outcome, long nowMillis) {
        boolean harmless = !mMayHaveRun || mTerms.repeatable();
        return harmless
                && outcome != SendOutcome.ABANDONED
                && mSends < mTerms.maxAttempts()
                && mUnsent < MOST_UNSENT
                && remainingMillis(nowMillis) >= LEAST_USEFUL_MILLIS;
    }
}
