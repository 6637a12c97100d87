package org.cyclamenpaddle.relay.front;

import io.netty.channel.EventLoop;
import java.util.Optional;
import org.cyclamenpaddle.relay.backend.Backend;
import org.cyclamenpaddle.relay.backend.SendOutcome;
import org.cyclamenpaddle.relay.retry.RetryDecision;
import org.cyclamenpaddle.relay.retry.RetryPolicy;

/**
 * Sends a request once more to the server of its last attempt, where that is better than another
 * one.
 *
 * <p>Runs on the event loop of the caller's connection.
 */
final class SameServerPhase {

    /** Performs what the phase decides. */
    interface Listener {

        /** Returns whether the request has ended. */
        boolean ended();

        /** Takes one retry from the shared budget; false if there is none left. */
        boolean takeRetry();

        /** Called before a stream resumes, which replaces the incomplete part of its response. */
        void resumes();

        /** Called when the request is to be sent to the same server. */
        void sendAgain(PlacementPhase.Placed placed);

        /** Called when it is not, so that another server may run it. */
        void sendElsewhere(BackendAttempt attempt, SendOutcome outcome, String cause);
    }

    private final RelayContext mRelay;
    private final RelayRequest mRequest;
    private final EventLoop mLoop;
    private final RetryPolicy mRetryPolicy;
    private final CrashGuard mCrashGuard;
    private final RequestLog mLog;
    private final Listener mListener;
    private Optional<Backend> mFailedPrefillEngine = Optional.empty();
    private boolean mReserving;

    SameServerPhase(
            RelayContext relay,
            RelayRequest request,
            EventLoop loop,
            RetryPolicy retryPolicy,
            CrashGuard crashGuard,
            RequestLog log,
            Listener listener) {
        mRelay = relay;
        mRequest = request;
        mLoop = loop;
        mRetryPolicy = retryPolicy;
        mCrashGuard = crashGuard;
        mLog = log;
        mListener = listener;
    }

    /** Returns whether a reservation is requested from the server that broke the connection. */
    boolean isReserving() {
        return mReserving;
    }

    /**
     * Decides what follows an attempt that has ended.
     *
     * @param prefillEngine engine that was to prefill its prompt; empty if the server did
     */
    void attemptEnded(
            BackendAttempt attempt,
            SendOutcome outcome,
            String cause,
            Optional<Backend> prefillEngine) {
        if (outcome == SendOutcome.REJECTED && attempt.prompt().isEmpty()) {
            rejectedDespiteReservation(attempt.target());
        }
        if (outcome == SendOutcome.REJECTED && attempt.prompt().isPresent()) {
            prefillResultLost(attempt, cause, prefillEngine);
        } else if (outcome.connectionLost() && mayResumeOn(attempt.target())) {
            resume(attempt, outcome, cause);
        } else {
            mListener.sendElsewhere(attempt, outcome, cause);
        }
    }

    /**
     * Handles an engine that rejected a request despite granting a reservation for it.
     *
     * <p>If the engine rejected it twice, the prefill result was not the cause, so the prefill
     * engine is marked as available again.
     */
    private void rejectedDespiteReservation(Backend target) {
        if (mRequest.engine().isPresent()) {
            mRelay.registry().recordOutdated(target, mRelay.clock().millis());
            mFailedPrefillEngine.ifPresent(mRelay.registry()::recordAlive);
        }
    }

    private boolean mayResumeOn(Backend engine) {
        return mRequest.engine().isPresent()
                && mRetryPolicy.mayResumeOnSameBackend(mRelay.clock().millis())
                && mCrashGuard.mayRunAgainOn(engine)
                && mRelay.registry()
                        .directives()
                        .tryCall(engine, mRequest.caller().size().calls(), mRelay.clock().millis());
    }

    /**
     * Resumes a stream whose connection broke on the engine that ran it, if that engine grants a
     * reservation.
     *
     * <p>An engine whose response was lost in transit still holds the prompt's KV cache. Any other
     * engine would have to prefill the prompt again, which takes longer than callers accept. An
     * engine that has crashed refuses the call at once, and the stream then resumes on another one.
     */
    private void resume(BackendAttempt attempt, SendOutcome outcome, String cause) {
        mReserving = true;
        ReserveCall.reserve(
                mRelay,
                mRequest,
                mLoop,
                attempt.target(),
                result -> {
                    mReserving = false;
                    reserved(attempt, outcome, cause, result);
                });
    }

    private void reserved(
            BackendAttempt attempt, SendOutcome outcome, String cause, ReserveCall.Result result) {
        boolean resumes =
                !mListener.ended()
                        && result.granted()
                        && mCrashGuard.mayRun()
                        && mRetryPolicy.resumeOnSameBackend(mListener::takeRetry);
        if (resumes) {
            mLog.attemptEnded(attempt, outcome, cause, RetryDecision.SEND_AGAIN);
            mRelay.metrics().recordRetry(outcome);
            mListener.resumes();
            mRelay.registry().recordAlive(attempt.target());
            mRelay.registry()
                    .recordResend(
                            attempt.target(), mRequest.caller().size(), mRelay.clock().millis());
            mListener.sendAgain(PlacementPhase.Placed.on(attempt.target(), result.reservation()));
            return;
        }
        result.reservation().ifPresent(name -> ReserveCall.cancel(mRelay, attempt.target(), name));
        if (!mListener.ended()) {
            mListener.sendElsewhere(attempt, outcome, cause);
        }
    }

    /**
     * Handles a decode engine that has memory for the request but could not fetch the prefilled
     * prompt.
     *
     * <p>Safeguard: a prefill engine whose results expire at once would fail every request that it
     * prefills for. The decode engine therefore runs the prefill itself, and the prefill engine is
     * ejected for a time.
     */
    private void prefillResultLost(
            BackendAttempt attempt, String cause, Optional<Backend> prefillEngine) {
        long now = mRelay.clock().millis();
        mFailedPrefillEngine = prefillEngine;
        prefillEngine.ifPresent(engine -> mRelay.registry().recordPrefillResultLost(engine, now));
        boolean again =
                mCrashGuard.mayRun()
                        && mRelay.registry().directives().tryCall(attempt.target(), 1, now)
                        && mRetryPolicy.resendToSameBackend(now, mListener::takeRetry);
        if (!again) {
            mListener.sendElsewhere(attempt, SendOutcome.REJECTED, cause);
            return;
        }
        mLog.attemptEnded(attempt, SendOutcome.REJECTED, cause, RetryDecision.SEND_AGAIN);
        mRelay.metrics().recordRetry(SendOutcome.REJECTED);
        mRelay.registry().recordResend(attempt.target(), mRequest.caller().size(), now);
        mListener.sendAgain(PlacementPhase.Placed.on(attempt.target(), Optional.empty()));
    }
}
