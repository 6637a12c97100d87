package org.cyclamenpaddle.relay.front;

import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.util.SafeCloseable;
import io.netty.channel.EventLoop;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.cyclamenpaddle.core.id.SoftwareVersion;
import org.cyclamenpaddle.engine.http.ResponseEnd;
import org.cyclamenpaddle.engine.http.TruncatedResponseException;
import org.cyclamenpaddle.relay.backend.Backend;
import org.cyclamenpaddle.relay.backend.SendOutcome;
import org.cyclamenpaddle.relay.backend.ServerVoice;
import org.cyclamenpaddle.relay.backend.WorkSize;
import org.cyclamenpaddle.relay.log.RelayEvent;
import org.cyclamenpaddle.relay.wire.BackendCall;
import org.cyclamenpaddle.relay.wire.BackendCaller;
import org.cyclamenpaddle.relay.wire.BackendResponse;
import org.cyclamenpaddle.relay.wire.PromptHandle;

/** One attempt to run a request on a backend server, up to its typed outcome. */
final class BackendAttempt implements Attempt, ExchangeListener {

    /** Notified once of the outcome, unless the attempt was cancelled or timed out. */
    interface EndListener {
        void ended(SendOutcome outcome, String cause);
    }

    /**
     * Conditions of an attempt.
     *
     * @param prefilledElsewhere whether another engine has prefilled the prompt
     * @param connection kind of connection to use
     * @param crashGuard decides whether the request may be sent
     * @param beforeResend run before the request is sent to the server a second time
     * @param heard run when the server has sent something and it has been handled
     */
    record Terms(
            boolean prefilledElsewhere,
            Connection connection,
            CrashGuard crashGuard,
            Runnable beforeResend,
            Runnable heard) {}

    /** Kind of connection that an attempt uses. */
    enum Connection {
        /** A new connection: a failed connect proves that nothing was sent. */
        NEW,
        /** A pooled connection that has just carried a response of the same server. */
        RECENTLY_USED,
        /** A pooled connection that may be stale; only for requests that may be retried. */
        POOLED
    }

    /**
     * Statuses that promise a caller that its request never ran.
     *
     * <p>Safeguard: a server that responds with one of them without stating that it did not run the
     * request may have run it. If the status were forwarded, the caller would send the request
     * again and it would run twice.
     */
    private static final Set<HttpStatus> NOT_RUN_STATUSES =
            Set.of(
                    HttpStatus.REQUEST_TIMEOUT,
                    HttpStatus.MISDIRECTED_REQUEST,
                    HttpStatus.TOO_MANY_REQUESTS,
                    HttpStatus.SERVICE_UNAVAILABLE);

    private final RelayContext mRelay;
    private final RelayRequest mRequest;
    private final BackendCall mCall;
    private final ResponseSink mResponse;
    private final EndListener mEndListener;
    private final long mStartMillis;
    private EventLoop mLoop;
    private BackendExchange mExchange;
    private BackendResponse mHead;
    private long mSentMillis;
    private final CrashGuard mCrashGuard;
    private final Runnable mBeforeResend;
    private final Runnable mHeard;
    private final ServerVoice mVoice;
    private long mHeardMillis;
    private OptionalLong mFirstDataMillis = OptionalLong.empty();

    /** Whether the server may send; false while its response is not read. */
    private boolean mAwaitsData = true;

    private Connection mConnection;
    private boolean mPrefilled;
    private boolean mResponseStarted;
    private boolean mEnded;
    private String mConnectionName = "none";

    BackendAttempt(
            RelayContext relay,
            RelayRequest request,
            BackendCall call,
            ResponseSink response,
            Terms terms,
            EndListener endListener) {
        mRelay = relay;
        mRequest = request;
        mCall = call;
        mResponse = response;
        mPrefilled = terms.prefilledElsewhere();
        mConnection = terms.connection();
        mCrashGuard = terms.crashGuard();
        mBeforeResend = terms.beforeResend();
        mHeard = terms.heard();
        mEndListener = endListener;
        mVoice = relay.registry().voice(call.target());
        mStartMillis = relay.clock().millis();
        mHeardMillis = mStartMillis;
    }

    void start(EventLoop loop) {
        mLoop = loop;
        open();
    }

    private void open() {
        boolean pooled = mConnection != Connection.NEW;
        mSentMillis = mRelay.clock().millis();
        try (SafeCloseable guarded = mRelay.calls().guard(target(), BackendCaller.Purpose.WORK)) {
            mExchange =
                    BackendExchange.send(
                            mRelay.connections()
                                    .client(target().address(), target().port(), pooled),
                            mRelay.backendMessages().request(mRequest.caller(), callFromNow()),
                            mRequest.body(),
                            mRelay.backendMessages(),
                            mLoop,
                            this);
        }
        mExchange.subscribe();
    }

    /** Returns the call with the time that is left now, which a second send has less of. */
    private BackendCall callFromNow() {
        return mCall.withRemaining(Math.max(0, mCall.remainingMillis() - elapsedMillis()));
    }

    @Override
    public SendOutcome cancel() {
        SendOutcome outcome = mExchange.cancel();
        close(SendOutcome.ABANDONED, "cancelled");
        return outcome;
    }

    @Override
    public SendOutcome timeOut() {
        SendOutcome outcome = silentIfConnected(mExchange.cancel());
        close(mResponseStarted ? SendOutcome.ABANDONED : outcome, "request timed out");
        return outcome;
    }

    @Override
    public String targetName() {
        return target().id().value();
    }

    /** Returns the handle of the prompt that was prefilled for this attempt. */
    Optional<PromptHandle> prompt() {
        return mCall.prompt();
    }

    @Override
    public long elapsedMillis() {
        return mRelay.clock().millis() - mStartMillis;
    }

    long startMillis() {
        return mStartMillis;
    }

    /**
     * Returns the time since the server last sent something, since its response is read on, or
     * since the start; 0 while the response is not read because its caller does not take it.
     */
    long quietMillis() {
        return mAwaitsData ? mRelay.clock().millis() - mHeardMillis : 0;
    }

    /** Returns the connection of the last send and the number of the request on it, for logs. */
    String connection() {
        return mConnectionName;
    }

    /** Returns whether the first event or a plain response has begun to arrive. */
    boolean begun() {
        return mResponseStarted;
    }

    @Override
    public void head(BackendResponse head) {
        mHead = head;
        mConnectionName = mExchange.connection();
        if (mExchange.openedConnection()) {
            mRelay.reachability().requestConnected(target(), mSentMillis);
        }
        if (!head.answers(Optional.of(mRequest.caller().id()))) {
            mExchange.cancel();
            resendOrEnd(
                    SendOutcome.MISMATCHED,
                    "response with status "
                            + head.headers().status().code()
                            + " for request id "
                            + head.requestId().orElse("none"));
            return;
        }
        heard();
        if (head.notRun() || isServersResponse(head)) {
            mRelay.calls()
                    .recordHead(target(), mRequest.caller().id(), head.headers(), mSentMillis);
        }
        if (head.notRun()) {
            mExchange.cancel();
            end(
                    head.misdirected() ? SendOutcome.MISDIRECTED : SendOutcome.REJECTED,
                    "status " + head.headers().status().code());
        } else if (!isServersResponse(head)) {
            // Bytes that no server sent may not reach the caller, and whether the request ran is
            // unknown.
            mExchange.cancel();
            end(
                    SendOutcome.UNKNOWN,
                    "unsigned or misleading response with status "
                            + head.headers().status().code());
        } else if (!mResponse.mayContinueWith(head)) {
            mExchange.cancel();
            end(SendOutcome.UNKNOWN, "resumed stream is no event stream");
        } else {
            mRelay.crashes().responded(target(), mSentMillis);
            mResponse.head(head, provedVersion());
            if (!mRequest.route().kind().streams()) {
                responseStarted();
            }
            mExchange.requestMore();
        }
    }

    /**
     * Returns the software version of the process that responds; empty if it is not certain.
     *
     * <p>A server may have started again under its id since its entry was read. An engine has said
     * with its reservation which process it is.
     */
    private Optional<SoftwareVersion> provedVersion() {
        boolean reserved = mRequest.engine().isPresent() && target().startedMillis() != 0;
        return reserved || mRelay.listing().isRecent()
                ? Optional.of(target().version())
                : Optional.empty();
    }

    private void heard() {
        mHeardMillis = mRelay.clock().millis();
        if (mVoice.heard(mHeardMillis)) {
            mRelay.registry().recordAlive(target());
        }
    }

    @Override
    public void data(HttpData data) {
        heard();
        mAwaitsData = false;
        if (mFirstDataMillis.isEmpty()) {
            mFirstDataMillis = OptionalLong.of(mHeardMillis);
        }
        if (mHead.success()) {
            mCrashGuard.responding(mHeardMillis - mFirstDataMillis.getAsLong());
        }
        if (mRequest.route().kind().streams() && mHead.success()) {
            responseStarted();
        }
        if (mHead.success() || !mResponse.isForwarding()) {
            mResponse.data(data, mRelay.clock().millis(), this::requestMore);
        } else {
            readOn();
        }
        mHeard.run();
    }

    @Override
    public void complete(ResponseEnd end) {
        ResponseEnd judged = mResponse.ended(end);
        mRelay.metrics().recordResponseEnd(judged);
        if (!judged.complete()) {
            failed(SendOutcome.UNKNOWN, new TruncatedResponseException(judged));
            return;
        }
        end(
                mHead.success() ? SendOutcome.SUCCEEDED : SendOutcome.FAILED,
                "status " + mHead.headers().status().code());
    }

    @Override
    public void failed(SendOutcome outcome, Throwable cause) {
        mConnectionName = mHead == null ? mExchange.connection() : mConnectionName;
        mCrashGuard.sendFailed(
                target(),
                outcome,
                cause,
                respondingMillis(),
                () -> resendOrEnd(outcome, String.valueOf(cause)));
    }

    private OptionalLong respondingMillis() {
        return mFirstDataMillis.isPresent()
                ? OptionalLong.of(mRelay.clock().millis() - mFirstDataMillis.getAsLong())
                : mFirstDataMillis;
    }

    private void resendOrEnd(SendOutcome outcome, String cause) {
        if (mEnded) {
            return;
        }
        if (mayBeConnectionsFault(outcome)
                && mCrashGuard.mayRunAgainOn(target())
                && mRelay.registry().directives().tryCall(target(), 1, mRelay.clock().millis())
                && mRelay.budget().tryTake(mRequest.service())) {
            mConnection = Connection.NEW;
            mHead = null;
            mBeforeResend.run();
            open();
        } else {
            end(outcome, cause);
        }
    }

    /**
     * Returns whether the connection may have failed for what was on it before the request.
     *
     * <p>Safeguard: servers close idle connections, some without notice, and the next write meets a
     * reset; or a connection carries a second response to an earlier request. Counted as a failure
     * of the server, it would eject a healthy one. A new connection shows which case it was; only
     * requests that may be retried are sent that way.
     */
    private boolean mayBeConnectionsFault(SendOutcome outcome) {
        boolean stale =
                mHead == null && outcome == SendOutcome.UNKNOWN && !mExchange.openedConnection();
        return mConnection == Connection.POOLED && (stale || outcome == SendOutcome.MISMATCHED);
    }

    private void requestMore() {
        if (mLoop.inEventLoop()) {
            readOn();
        } else {
            mLoop.execute(this::readOn);
        }
    }

    private void readOn() {
        mAwaitsData = true;
        mHeardMillis = mRelay.clock().millis();
        mExchange.requestMore();
    }

    private static boolean isServersResponse(BackendResponse head) {
        return head.signed() && !NOT_RUN_STATUSES.contains(head.headers().status());
    }

    private void responseStarted() {
        if (mResponseStarted) {
            return;
        }
        mResponseStarted = true;
        long now = mRelay.clock().millis();
        mRelay.registry().recordFirstByte(target(), latencySize(), now - mStartMillis, now);
        if (!mPrefilled) {
            mPrefilled = true;
            mRelay.registry().recordPrefillDone(target(), mRequest.caller().size());
        }
    }

    private WorkSize latencySize() {
        return mPrefilled ? WorkSize.PLAIN : mRequest.caller().size();
    }

    /**
     * Returns {@link SendOutcome#SILENT} for an open connection without data, which is not a broken
     * one.
     */
    private static SendOutcome silentIfConnected(SendOutcome cancelled) {
        return cancelled == SendOutcome.UNKNOWN ? SendOutcome.SILENT : cancelled;
    }

    private void end(SendOutcome outcome, String cause) {
        if (mEnded) {
            return;
        }
        close(outcome, cause);
        mEndListener.ended(outcome, cause);
    }

    private void close(SendOutcome outcome, String cause) {
        mEnded = true;
        boolean ejected =
                mRelay.registry()
                        .recordOutcome(
                                target(),
                                mRequest.caller().size(),
                                mPrefilled,
                                outcome,
                                mRelay.clock().millis());
        if (ejected) {
            mRelay.log().log(RelayEvent.BACKEND_EJECTED, target().id(), outcome, cause);
        }
    }

    Backend target() {
        return mCall.target();
    }
}
