package org.cyclamenpaddle.relay.front;

import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.util.SafeCloseable;
import io.netty.channel.EventLoop;
import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.util.Optional;
import java.util.function.Consumer;
import org.cyclamenpaddle.engine.http.ResponseEnd;
import org.cyclamenpaddle.http.PolledTimer;
import org.cyclamenpaddle.relay.backend.Backend;
import org.cyclamenpaddle.relay.backend.SendOutcome;
import org.cyclamenpaddle.relay.log.RelayEvent;
import org.cyclamenpaddle.relay.wire.BackendCall;
import org.cyclamenpaddle.relay.wire.BackendCaller;
import org.cyclamenpaddle.relay.wire.BackendResponse;
import org.cyclamenpaddle.relay.wire.PromptHandle;
import org.cyclamenpaddle.routing.silence.SilenceLimits;

/**
 * Runs the prefill of one prompt on a prefill engine. A failure here never means that the request
 * ran.
 */
final class PrefillExchange implements ExchangeListener {

    /**
     * Share of the route's silence limit after which a prefill on an engine that responds to no
     * request may be replaced.
     *
     * <p>Safeguard: an engine that has become unreachable would hold the request until its timeout.
     * With a smaller share, prompts that are merely queued would be prefilled a second time on
     * decode engines, where that interrupts the streams running there. With this share, prefill on
     * the decode engine still ends before the caller disconnects.
     */
    private static final double SILENCE_SHARE = 0.25;

    /**
     * Share of the route's silence limit after which a prefill on an engine that responds to other
     * requests may be replaced.
     *
     * <p>Safeguard: after a power loss all hosts forward their callers' requests at once, and
     * prompts queue for a second on healthy engines. Ending it earlier would waste the prefill done
     * so far and retry it on decode engines, where it delays generations.
     */
    private static final double QUEUE_SHARE = 0.6;

    /**
     * Share of the route's silence limit that the prefill engine has once the decode engine
     * responds again. Engines that were paused together go on together, and the prefill is then
     * nearer its end than a new one would be.
     */
    private static final double RESUME_SHARE = 0.1;

    /**
     * Number of checks without a response from which the decode engine counts as silent; one that
     * is busy responds within two.
     */
    private static final int MAX_UNANSWERED_CHECKS = 2;

    /** Maximum number of bytes of a result, which is a handle and two numbers. */
    private static final int MAX_RESULT_BYTES = 64 << 10;

    private final RelayContext mRelay;
    private final RelayRequest mRequest;
    private final Backend mEngine;
    private final EngineCheck mEngineCheck;
    private final EngineCheck mDecodeEngine;
    private final CrashGuard mCrashGuard;
    private final ReachedServers mReached;
    private final Consumer<Optional<PromptHandle>> mDone;
    private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
    private final long mStartMillis;
    private long mSentMillis;
    private EventLoop mLoop;
    private long mRemainingMillis;
    private boolean mPooled;
    private PolledTimer mSilenceCheck;
    private BackendExchange mExchange;
    private BackendResponse mResponse;
    private boolean mEnded;
    private boolean mRejected;
    private boolean mSilenceRecorded;
    private int mUnansweredChecks;
    private long mResumedMillis;

    /**
     * Creates the exchange.
     *
     * @param decodeEngine engine that prefills the prompt itself if this prefill fails
     * @param crashGuard decides whether the request may be sent
     * @param reached servers to which the request was sent
     * @param done called with the handle, or empty if the prefill failed; not called after a cancel
     */
    PrefillExchange(
            RelayContext relay,
            RelayRequest request,
            Backend engine,
            Backend decodeEngine,
            CrashGuard crashGuard,
            ReachedServers reached,
            Consumer<Optional<PromptHandle>> done) {
        mRelay = relay;
        mRequest = request;
        mEngine = engine;
        mEngineCheck = new EngineCheck(relay, engine, request.route().silenceMillis());
        mDecodeEngine = new EngineCheck(relay, decodeEngine, request.route().silenceMillis());
        mCrashGuard = crashGuard;
        mReached = reached;
        mDone = done;
        mStartMillis = relay.clock().millis();
        mResumedMillis = mStartMillis;
    }

    void start(EventLoop loop, long remainingMillis) {
        mLoop = loop;
        mRemainingMillis = remainingMillis;
        checkAfter(silenceMillis(SILENCE_SHARE));
        open(mReached.add(mEngine));
    }

    private void open(boolean pooled) {
        mPooled = pooled;
        mSentMillis = mRelay.clock().millis();
        BackendCall call =
                new BackendCall(
                        mEngine,
                        Math.max(0, mRemainingMillis - (mSentMillis - mStartMillis)),
                        true,
                        Optional.empty(),
                        Optional.empty(),
                        mRequest.teamName(),
                        mRequest.enginePriority(),
                        Optional.empty());
        try (SafeCloseable guarded = mRelay.calls().guard(mEngine, BackendCaller.Purpose.WORK)) {
            mExchange =
                    BackendExchange.send(
                            mRelay.connections().client(mEngine.address(), mEngine.port(), pooled),
                            mRelay.backendMessages().request(mRequest.caller(), call),
                            mRequest.body(),
                            mRelay.backendMessages(),
                            mLoop,
                            this);
        }
        mExchange.subscribe();
    }

    /** Returns whether the engine rejected the prompt. */
    boolean rejected() {
        return mRejected;
    }

    /** Cancels the prefill because the request has ended. */
    void cancel() {
        if (!mEnded) {
            mExchange.cancel();
            end(SendOutcome.ABANDONED);
        }
    }

    @Override
    public void head(BackendResponse response) {
        mResponse = response;
        if (!response.answers(Optional.of(mRequest.caller().id()))) {
            // Its handle would make this request continue from the prompt of another one.
            mExchange.cancel();
            resendOrFail(
                    SendOutcome.MISMATCHED,
                    "response for request id " + response.requestId().orElse("none"));
            return;
        }
        heard();
        mRelay.calls().recordHead(mEngine, mRequest.caller().id(), response.headers(), mSentMillis);
        mExchange.requestMore();
    }

    @Override
    public void data(HttpData data) {
        heard();
        if (mBody.size() + data.length() > MAX_RESULT_BYTES) {
            throw new ResponseTooLongException("prefill result without an end");
        }
        mBody.writeBytes(data.array());
        mExchange.requestMore();
    }

    @Override
    public void complete(ResponseEnd end) {
        if (mEnded) {
            return;
        }
        if (mResponse.notRun() || !mResponse.success()) {
            mRejected = true;
            fail(
                    mResponse.misdirected() ? SendOutcome.MISDIRECTED : SendOutcome.REJECTED,
                    "status " + mResponse.headers().status().code());
            return;
        }
        Either<String, PromptHandle> handle =
                mRelay.engineMessages().promptHandle(mEngine, mBody.toByteArray());
        if (handle.isLeft()) {
            fail(SendOutcome.UNKNOWN, handle.getLeft());
            return;
        }
        long now = mRelay.clock().millis();
        mRelay.registry()
                .recordFirstByte(mEngine, mRequest.caller().size(), now - mStartMillis, now);
        end(SendOutcome.SUCCEEDED);
        mDone.accept(Optional.of(handle.get()));
    }

    @Override
    public void failed(SendOutcome outcome, Throwable cause) {
        if (!mEnded) {
            mCrashGuard.prefillFailed(
                    mEngine, outcome, cause, () -> resendOrFail(outcome, String.valueOf(cause)));
        }
    }

    private void resendOrFail(SendOutcome outcome, String cause) {
        if (mEnded) {
            return;
        }
        // A pooled connection may have been closed while it was idle, or carry a second response to
        // an earlier request. A prefill may be repeated.
        boolean stale =
                mResponse == null
                        && outcome == SendOutcome.UNKNOWN
                        && !mExchange.openedConnection();
        // The engine may have run the prefill that another response was taken for.
        boolean mayResend =
                mPooled
                        && (stale
                                || outcome == SendOutcome.MISMATCHED
                                        && mRelay.budget().tryTake(mRequest.service()));
        if (mayResend
                && mCrashGuard.mayRunAgainOn(mEngine)
                && mRelay.registry().directives().tryCall(mEngine, 1, mRelay.clock().millis())) {
            mResponse = null;
            open(false);
        } else {
            fail(outcome, cause);
        }
    }

    private void heard() {
        mRelay.registry().recordHeard(mEngine, mRelay.clock().millis());
    }

    private long silenceMillis(double share) {
        return (long) (mRequest.route().silenceMillis() * share);
    }

    private void checkAfter(long millis) {
        mSilenceCheck = PolledTimer.start(mLoop, this::checkSilence, millis);
    }

    /**
     * Ends the prefill if the engine is silent and the decode engine, which would prefill the
     * prompt instead, responds. While neither responds, the prefill goes on: a server that sends
     * nothing is usually paused, and nothing else could begin the stream earlier.
     */
    private void checkSilence() {
        if (mEnded) {
            return;
        }
        long now = mRelay.clock().millis();
        long endMillis =
                Math.max(
                        mStartMillis + silenceMillis(QUEUE_SHARE),
                        mResumedMillis + silenceMillis(SILENCE_SHARE));
        if (now < endMillis && mRelay.registry().voice(mEngine).heardSince(mResumedMillis)) {
            checkAfter(Math.min(silenceMillis(SILENCE_SHARE), endMillis - now));
            return;
        }
        if (!mSilenceRecorded) {
            recordSilence(now);
            // An engine at which the prompt only waits answers before the next check.
            mEngineCheck.askIfSilent();
            mDecodeEngine.responds();
            checkAfter(EngineCheck.RECENT_MILLIS / 2);
        } else if (!mDecodeEngine.responds()) {
            mUnansweredChecks++;
            checkAfter(EngineCheck.RECENT_MILLIS / 2);
        } else if (mUnansweredChecks > MAX_UNANSWERED_CHECKS) {
            mUnansweredChecks = 0;
            mResumedMillis = now - EngineCheck.RECENT_MILLIS;
            checkAfter(silenceMillis(RESUME_SHARE));
        } else {
            SendOutcome cancelled = mExchange.cancel();
            boolean connected = cancelled == SendOutcome.UNKNOWN;
            // The silence has been recorded.
            end(connected ? SendOutcome.ABANDONED : cancelled);
            reportFailure(
                    connected ? SendOutcome.SILENT : cancelled,
                    "no response in " + (now - mStartMillis) + " ms");
        }
    }

    private void recordSilence(long nowMillis) {
        mSilenceRecorded = true;
        long limitMillis = SilenceLimits.otherMillis(silenceMillis(SILENCE_SHARE));
        if (mRelay.registry().recordSilence(mEngine, limitMillis, nowMillis)) {
            mRelay.log().log(
                    RelayEvent.BACKEND_EJECTED,
                    mEngine.id(),
                    SendOutcome.SILENT,
                    "no response to a prefill in " + (nowMillis - mStartMillis) + " ms");
        }
    }

    private void fail(SendOutcome outcome, String cause) {
        end(outcome);
        reportFailure(outcome, cause);
    }

    private void reportFailure(SendOutcome outcome, String cause) {
        mRelay.log().log(
                RelayEvent.PREFILL_FAILED,
                mRequest.caller().id(),
                mEngine.id(),
                outcome,
                cause,
                mRelay.clock().millis() - mStartMillis);
        mDone.accept(Optional.empty());
    }

    private void end(SendOutcome outcome) {
        mEnded = true;
        mSilenceCheck.cancel();
        long now = mRelay.clock().millis();
        mRelay.registry().recordOutcome(mEngine, mRequest.caller().size(), false, outcome, now);
    }
}
