package org.cyclamenpaddle.relay.front;

import java.util.List;
import java.util.Optional;
import org.cyclamenpaddle.core.id.SoftwareVersion;
import org.cyclamenpaddle.core.id.StreamKey;
import org.cyclamenpaddle.core.id.TeamName;
import org.cyclamenpaddle.relay.backend.Backend;
import org.cyclamenpaddle.relay.backend.SendOutcome;
import org.cyclamenpaddle.relay.crash.PartFingerprint;
import org.cyclamenpaddle.relay.log.RelayEvent;
import org.cyclamenpaddle.relay.retry.CallerReply;
import org.cyclamenpaddle.relay.retry.RetryDecision;
import org.cyclamenpaddle.relay.retry.RetryPolicy;
import org.cyclamenpaddle.routing.silence.SecondSend;
import org.cyclamenpaddle.routing.stream.StreamBinding;

/** Writes the log lines of one request: decisions, outcomes and durations. */
final class RequestLog {

    private static final String NONE = "none";

    private final RelayContext mRelay;
    private final RelayRequest mRequest;
    private final RetryPolicy mRetryPolicy;
    private final CallerResponse mResponse;
    private final long mStartMillis;
    private long mPassedOver;
    private SearchInputs mSearch = SearchInputs.NONE;

    RequestLog(
            RelayContext relay,
            RelayRequest request,
            RetryPolicy retryPolicy,
            CallerResponse response,
            long startMillis) {
        mRelay = relay;
        mRequest = request;
        mRetryPolicy = retryPolicy;
        mResponse = response;
        mStartMillis = startMillis;
    }

    /** Records how many servers the latest selection passed over because of their directives. */
    void serversPassedOver(long servers) {
        mPassedOver = servers;
    }

    /** Records the inputs of the latest search for engine memory. */
    void searched(SearchInputs inputs) {
        mSearch = inputs;
    }

    /**
     * Logs a request that takes up a stream which another attempt of its caller has begun.
     *
     * @param binding software version that began it, if it is known
     * @param millis how long it took to find out
     */
    void streamTakenUp(StreamBinding binding, long millis) {
        mRelay.log().log(
                RelayEvent.STREAM_TAKEN_UP,
                mRequest.caller().id(),
                mRequest.route().name(),
                mRequest.service(),
                stream(),
                binding.version().map(SoftwareVersion::toString).orElse("unknown"),
                millis);
    }

    /** Logs that the caller disconnected before the response was complete. */
    void callerDisconnected(Optional<Backend> backend) {
        mRelay.log().log(
                RelayEvent.CALLER_DISCONNECTED,
                mRequest.caller().id(),
                mRequest.route().name(),
                team(),
                stream(),
                name(backend),
                mRetryPolicy.sends(),
                elapsedMillis());
    }

    /**
     * Logs that the caller has received a complete response.
     *
     * @param backend server that sent it
     * @param prefillEngine prefill engine, if the prompt was prefilled separately
     * @param reservationMillis time until a reservation was granted; -1 if none was needed
     * @param parts fingerprints of the parts of its prompt, if they are needed
     * @param connection connection of the response and the number of the request on it
     */
    void completed(
            Optional<Backend> backend,
            Optional<Backend> prefillEngine,
            long reservationMillis,
            List<Long> parts,
            String connection) {
        mRelay.log().log(
                RelayEvent.REQUEST_ENDED,
                mRequest.caller().id(),
                mRequest.route().name(),
                team(),
                mRequest.version(),
                mRequest.caller().size().promptTokens(),
                mRequest.caller().size().outputTokens(),
                name(backend),
                version(backend),
                mResponse.status(),
                mRetryPolicy.sends(),
                elapsedMillis(),
                mResponse.firstMillis(mStartMillis),
                reservationMillis,
                name(prefillEngine),
                mResponse.events(),
                mResponse.maxPauseMillis(),
                mResponse.end().text(),
                mPassedOver,
                priority(),
                mRequest.urgency().moreUrgent(),
                mSearch.waitMillis(),
                mSearch.rejects(),
                mSearch.leftTokens(),
                PartFingerprint.text(parts),
                connection);
    }

    /** Logs that the response to the caller was truncated. */
    void truncated(Optional<Backend> backend, String reason) {
        mRelay.log().log(
                RelayEvent.RESPONSE_TRUNCATED,
                mRequest.caller().id(),
                mRequest.route().name(),
                team(),
                stream(),
                name(backend),
                version(backend),
                reason,
                mResponse.lastEventId().orElse(NONE),
                mRetryPolicy.sends(),
                elapsedMillis());
    }

    /** Logs that the request failed before a response was forwarded. */
    void failed(CallerReply reply, String reason) {
        mRelay.log().log(
                RelayEvent.REQUEST_FAILED,
                mRequest.caller().id(),
                mRequest.route().name(),
                team(),
                mRequest.version(),
                reply.status(),
                reason,
                mRetryPolicy.sends(),
                elapsedMillis(),
                mPassedOver,
                priority(),
                mRequest.urgency().moreUrgent(),
                mSearch.waitMillis(),
                mSearch.rejects(),
                mSearch.leftTokens());
    }

    /** Logs an attempt that ended without a response for the caller. */
    void attemptEnded(
            BackendAttempt attempt, SendOutcome outcome, String cause, RetryDecision next) {
        mRelay.log().log(
                RelayEvent.ATTEMPT_ENDED,
                mRequest.caller().id(),
                attempt.target().id().value(),
                attempt.target().version(),
                outcome,
                cause,
                attempt.elapsedMillis(),
                next,
                barrier(next),
                attempt.connection());
    }

    /**
     * Logs that the server of an attempt has sent nothing for a time, and what follows.
     *
     * @param lateMillis time since the timer of the decision was due
     */
    void serverSilent(
            BackendAttempt attempt, long quietMillis, SecondSend decision, long lateMillis) {
        mRelay.metrics().recordSilence(decision);
        mRelay.log().log(
                RelayEvent.SERVER_SILENT,
                mRequest.caller().id(),
                attempt.target().id().value(),
                quietMillis,
                mResponse.lastEventId().orElse(NONE),
                decision.text(),
                lateMillis);
    }

    /** Logs the end of one of two attempts in progress. */
    void oneOfTwoEnded(Attempt attempt, SendOutcome outcome, String cause, Attempt kept) {
        mRelay.log().log(
                RelayEvent.ONE_OF_TWO_ENDED,
                mRequest.caller().id(),
                attempt.targetName(),
                outcome,
                cause,
                attempt.elapsedMillis(),
                kept.targetName());
    }

    /** Logs an attempt by another host that ended without a response for the caller. */
    void handoverEnded(SendOutcome outcome, String cause, RetryDecision next) {
        mRelay.log().log(
                RelayEvent.ATTEMPT_ENDED,
                mRequest.caller().id(),
                NONE,
                NONE,
                outcome,
                cause,
                elapsedMillis(),
                next,
                barrier(next),
                NONE);
    }

    private String barrier(RetryDecision next) {
        return next == RetryDecision.SEND_AGAIN ? NONE : mRetryPolicy.barrier().text();
    }

    /** Returns the time since the request started, in milliseconds. */
    long elapsedMillis() {
        return mRelay.clock().millis() - mStartMillis;
    }

    private int priority() {
        return mRequest.enginePriority().orElse(-1);
    }

    private String team() {
        return mRequest.teamName().map(TeamName::value).orElse(NONE);
    }

    private static String name(Optional<Backend> backend) {
        return backend.map(known -> known.id().value()).orElse(NONE);
    }

    private static String version(Optional<Backend> backend) {
        return backend.map(known -> known.version().toString()).orElse(NONE);
    }

    private String stream() {
        return mRequest.streamKey().map(StreamKey::toString).orElse(NONE);
    }

    /** Records what a completed generation has shown of the demand of its service. */
    void recordDemand() {
        long first = mResponse.firstMillis(mStartMillis);
        boolean complete = mRequest.caller().resumeAfter().isEmpty() && mResponse.status() < 300;
        if (first >= 0 && complete) {
            mRequest.recordDemand(mRelay.demand(), mResponse.events(), elapsedMillis() - first);
        }
    }
}
