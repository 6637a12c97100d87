package org.cyclamenpaddle.relay.front;

import com.linecorp.armeria.common.ProtocolViolationException;
import io.netty.channel.EventLoop;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Stream;
import org.cyclamenpaddle.relay.backend.Backend;
import org.cyclamenpaddle.relay.backend.SendOutcome;
import org.cyclamenpaddle.relay.crash.LostConnection;
import org.cyclamenpaddle.relay.crash.PartFingerprint;
import org.cyclamenpaddle.relay.crash.RequestFingerprint;
import org.cyclamenpaddle.relay.handover.HandoverTerms;

/**
 * Connects one request with what is known of the servers that ended under it.
 *
 * <p>Asked before each call that is made for the request. Runs on the event loop of the caller's
 * connection. The fingerprint is computed once, and only while it is needed.
 */
final class CrashGuard {

    /** Reason for refusing a request that was held back. */
    static final String HELD_REASON = "backend servers may end under a part of its prompt";

    /** Reason for refusing a quarantined request. */
    static final String REASON = "backend servers have ended under this request";

    /**
     * Time after the beginning of a response for which its server may end because of it, in
     * milliseconds. A server ends as it begins to respond, so that one that has been responding for
     * longer has not ended because of that request.
     */
    private static final long MAX_BEGINNING_MILLIS = 500;

    /** Time until a request that was held back is looked at again, in milliseconds. */
    private static final long HOLD_MILLIS = 50;

    /** Time after which a request that is held back is refused, in milliseconds. */
    private static final long MAX_HOLD_MILLIS = 3_000;

    /** Retry-After of a request that was held back too long, in milliseconds. */
    private static final long HOLD_RETRY_MILLIS = 1_000;

    /**
     * Time that a request waits which may have ended a server shortly after another one ended, in
     * milliseconds. By then it is known whether it is suspected.
     */
    private static final long RETRY_HOLD_MILLIS = 100;

    private static final OptionalLong NOT_REFUSED = OptionalLong.empty();

    /** A quarantined request or part of prompts, and how long it is refused. */
    private record Refusal(long suspect, long millis) {}

    private final RelayContext mRelay;
    private final RelayRequest mRequest;
    private final EventLoop mLoop;
    private OptionalLong mFingerprint = OptionalLong.empty();
    private Optional<List<Long>> mParts = Optional.empty();
    private long mHeldMillis;
    private boolean mHeldTooLong;
    private boolean mMayHaveEndedServer;
    private boolean mCleared;

    CrashGuard(RelayContext relay, RelayRequest request, EventLoop loop) {
        mRelay = relay;
        mRequest = request;
        mLoop = loop;
    }

    /** Returns how long the request is refused, in milliseconds; empty if it may run. */
    OptionalLong refusedMillis() {
        return refused().map(refusal -> OptionalLong.of(refusal.millis())).orElse(NOT_REFUSED);
    }

    /** Returns the quarantine that refuses the request; empty if it may run. */
    private Optional<Refusal> refused() {
        return mRelay.quarantine().isRefusing()
                ? Stream.concat(Stream.of(fingerprint()), parts().stream())
                        .flatMap(
                                suspect ->
                                        mRelay.quarantine().refusedMillis(suspect).stream()
                                                .mapToObj(millis -> new Refusal(suspect, millis)))
                        .findFirst()
                : Optional.empty();
    }

    /** Returns whether the request may be sent to a server. */
    boolean mayRun() {
        return refusedMillis().isEmpty();
    }

    /** Returns whether the request may be sent to the same server once more. */
    boolean mayRunAgainOn(Backend server) {
        return mayRun() && !mRelay.crashes().hasEnded(server);
    }

    /**
     * Returns how long the request is held back before it is sent, in milliseconds; 0 if it may be
     * sent now, or has been held back too long.
     */
    long holdMillis() {
        if (!mRelay.parts().isTracking(mRequest.service())) {
            return 0;
        }
        long hold = 0;
        if (mMayHaveEndedServer) {
            hold = RETRY_HOLD_MILLIS;
        } else if (!mRelay.parts().mayRun(mRequest.service(), parts())) {
            hold = HOLD_MILLIS;
        }
        mMayHaveEndedServer = false;
        mHeldMillis += hold;
        mHeldTooLong = hold > 0 && mHeldMillis > MAX_HOLD_MILLIS;
        return mHeldTooLong ? 0 : hold;
    }

    /** Returns whether the request was held back too long to be sent. */
    boolean isHeldTooLong() {
        return mHeldTooLong;
    }

    /** Returns the Retry-After of a refused request, in milliseconds. */
    long retryDelayMillis() {
        return mHeldTooLong ? HOLD_RETRY_MILLIS : refusedMillis().orElse(0);
    }

    /** Logs that the request is refused. */
    void logRefusal() {
        refused()
                .ifPresent(
                        refusal ->
                                mRelay.quarantine()
                                        .recordRefusal(
                                                mRequest.caller().id(),
                                                mRequest.route().name(),
                                                refusal.suspect(),
                                                refusal.millis()));
    }

    /**
     * Records the failure of a send. If the connection ended while the server may have run the
     * request, the server is checked.
     *
     * @param outcome outcome of the send
     * @param cause cause of the failure
     * @param respondingMillis time since the server began to respond; empty if it had not begun
     * @param next run at once, or else when the check has ended or takes too long
     */
    void sendFailed(
            Backend server,
            SendOutcome outcome,
            Throwable cause,
            OptionalLong respondingMillis,
            Runnable next) {
        boolean begins = respondingMillis.orElse(0) <= MAX_BEGINNING_MILLIS;
        sendFailed(server, outcome, cause, begins ? parts() : List.of(), next);
    }

    /** Records the failure of a prefill, which runs no request. */
    void prefillFailed(Backend engine, SendOutcome outcome, Throwable cause, Runnable next) {
        sendFailed(engine, outcome, cause, List.of(), next);
    }

    private void sendFailed(
            Backend server,
            SendOutcome outcome,
            Throwable cause,
            List<Long> suspects,
            Runnable next) {
        // This host closes a connection itself on which it receives something else than a response.
        boolean malformed = cause instanceof ProtocolViolationException;
        if (outcome != SendOutcome.UNKNOWN || malformed || mRelay.registry().isLeaving(server)) {
            next.run();
            return;
        }
        mMayHaveEndedServer = !suspects.isEmpty() && mRelay.parts().isTracking(mRequest.service());
        mRelay.crashes()
                .connectionLost(
                        new LostConnection(
                                mRequest.caller().id(),
                                mRequest.route().name(),
                                fingerprint(),
                                suspects,
                                server),
                        mLoop)
                .thenRun(next);
    }

    /**
     * Records that a server has run the request and responded completely.
     *
     * @param success whether the response is a success
     */
    void ranToItsEnd(boolean success) {
        if (mRelay.quarantine().isTracking()) {
            mRelay.quarantine().ranToItsEnd(fingerprint());
        }
        if (success) {
            clearParts();
        }
    }

    /**
     * Records that a server is responding with success.
     *
     * @param millis time since it began to
     */
    void responding(long millis) {
        if (millis > MAX_BEGINNING_MILLIS) {
            clearParts();
        }
    }

    private void clearParts() {
        if (!mCleared && mRelay.parts().isTracking(mRequest.service())) {
            mCleared = true;
            mRelay.parts().runCompleted(mRequest.service(), parts());
            parts().forEach(mRelay.quarantine()::ranToItsEnd);
        }
    }

    /** Returns the fingerprints of the parts of the prompt while they are tracked. */
    List<Long> partsIfTracked() {
        return mRelay.parts().isTracking(mRequest.service()) ? parts() : List.of();
    }

    private List<Long> parts() {
        if (mParts.isEmpty()) {
            mParts = Optional.of(PartFingerprint.of(mRequest.service(), mRequest.caller().parts()));
        }
        return mParts.get();
    }

    private long computeFingerprint() {
        return RequestFingerprint.of(mRequest.caller(), mRequest.body());
    }

    /**
     * Returns the fingerprint for a host that the request is handed to; empty without an API key,
     * when that host computes the same one.
     */
    OptionalLong fingerprintToHandOver() {
        return mRequest.caller().key().isPresent()
                ? OptionalLong.of(fingerprint())
                : OptionalLong.empty();
    }

    private long fingerprint() {
        if (mFingerprint.isEmpty()) {
            mFingerprint =
                    OptionalLong.of(
                            mRequest.handover()
                                    .map(HandoverTerms::fingerprint)
                                    .filter(OptionalLong::isPresent)
                                    .map(OptionalLong::getAsLong)
                                    .orElseGet(this::computeFingerprint));
        }
        return mFingerprint.getAsLong();
    }
}
