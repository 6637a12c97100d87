package org.cyclamenpaddle.relay.front;

import java.util.Optional;
import org.cyclamenpaddle.relay.backend.Backend;
import org.cyclamenpaddle.relay.backend.SendOutcome;
import org.cyclamenpaddle.relay.log.RelayEvent;
import org.cyclamenpaddle.relay.retry.CallerReply;
import org.cyclamenpaddle.relay.retry.RetryDecision;
import org.cyclamenpaddle.relay.retry.RetryPolicy;

/** The log lines of one run: what was decided, by what, and how long it took. */
final class RequestLog {

    private static final String NONE = "none";

    private final RelayContext mRelay;
    private final RelayRequest mRequest;
    private final RetryPolicy mRetryPolicy;
    private final CallerAnswer mAnswer;
    private final long mStartMillis;

    RequestLog(
            RelayContext relay,
            RelayRequest request,
            RetryPolicy retryPolicy,
            CallerAnswer answer,
            long startMillis) {
        mRelay = relay;
        mRequest = request;
        mRetryPolicy = retryPolicy;
        mAnswer = answer;
        mStartMillis = startMillis;
    }

    /** The caller has left before its answer. */
    void callerGone(Optional<Backend> backend) {
        mRelay.log().log(
                RelayEvent.CALLER_DISCONNECTED,
                mRequest.caller().id(),
                mRequest.route().name(),
                name(backend),
                mRetryPolicy.sends(),
                spentMillis());
    }

    /**
     * The caller has its whole answer.
     *
     * @param backend server that gave it
     * @param reader engine that read the prompt, if another one did
     * @param placeMillis time until a place was found; -1 if none was looked for
     */
    void answered(Optional<Backend> backend, Optional<Backend> reader, long placeMillis) {
        mRelay.log().log(
                RelayEvent.REQUEST_ENDED,
                mRequest.caller().id(),
                mRequest.route().name(),
                mRequest.version(),
                mRequest.caller().size().promptTokens(),
                mRequest.caller().size().outputTokens(),
                name(backend),
                mAnswer.status(),
                mRetryPolicy.sends(),
                spentMillis(),
                mAnswer.firstMillis(mStartMillis),
                placeMillis,
                name(reader),
                mAnswer.events(),
                mAnswer.pauseMillis());
    }

    /** The caller's answer was cut short. */
    void cut(Optional<Backend> backend, String reason) {
        mRelay.log().log(
                RelayEvent.RESPONSE_TRUNCATED,
                mRequest.caller().id(),
                mRequest.route().name(),
                name(backend),
                reason,
                mAnswer.lastEventId().orElse(NONE),
                mRetryPolicy.sends(),
                spentMillis());
    }

    /** The caller was told that it gets no answer. */
    void failed(CallerReply reply, String reason) {
        mRelay.log().log(
                RelayEvent.REQUEST_FAILED,
                mRequest.caller().id(),
                mRequest.route().name(),
                mRequest.version(),
                reply.status(),
                reason,
                mRetryPolicy.sends(),
                spentMillis());
    }

    /** A send has ended without an answer for the caller. */
    void sendEnded(BackendAttempt send, SendOutcome outcome, String cause, RetryDecision next) {
        mRelay.log().log(
                RelayEvent.ATTEMPT_ENDED,
                mRequest.caller().id(),
                send.target().id().value(),
                outcome,
                cause,
                send.spentMillis(),
                next);
    }

    /** Returns how long the run has taken. */
    long spentMillis() {
        return mRelay.clock().millis() - mStartMillis;
    }

    private static String name(Optional<Backend> backend) {
        return backend.map(known -> known.id().value()).orElse(NONE);
    }
}
