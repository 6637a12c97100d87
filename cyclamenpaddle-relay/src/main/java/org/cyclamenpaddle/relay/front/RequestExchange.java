package org.cyclamenpaddle.relay.front;

import com.linecorp.armeria.common.HttpResponseWriter;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.ResponseHeaders;
import io.netty.channel.EventLoop;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.stream.LongStream;
import org.cyclamenpaddle.http.PolledTimer;
import org.cyclamenpaddle.relay.backend.Backend;
import org.cyclamenpaddle.relay.backend.BackendQuery;
import org.cyclamenpaddle.relay.backend.SendOutcome;
import org.cyclamenpaddle.relay.handover.HandoverTerms;
import org.cyclamenpaddle.relay.handover.Helper;
import org.cyclamenpaddle.relay.retry.CallerReply;
import org.cyclamenpaddle.relay.retry.RetryDecision;
import org.cyclamenpaddle.relay.retry.RetryPolicy;
import org.cyclamenpaddle.routing.buffer.RequestBytes;
import org.cyclamenpaddle.routing.stream.StreamBinding;

/**
 * Manages one request from its arrival to its end: places it, forwards it, retries it and completes
 * it exactly once.
 *
 * <p>All methods run on the event loop of the caller's connection.
 */
final class RequestExchange {

    private final RelayContext mRelay;
    private final RelayRequest mRequest;
    private final EventLoop mLoop;
    private final CallerResponse mResponse;
    private final RequestBytes mBytes;
    private final StopCheck mStopCheck;
    private final RequestEndListener mEndListener;
    private final RetryPolicy mRetryPolicy;
    private final RequestLog mRequestLog;
    private final CrashGuard mCrashGuard;
    private final HandoverPhase mHandover;
    private final StreamPhase mStream;
    private final SameServerPhase mSameServer;
    private final ReachedServers mReached = new ReachedServers();
    private final RequestAttempts mAttempts;
    private final long mStartMillis;
    private PolledTimer mTimeout;
    private Optional<PlacementPhase> mPlacement = Optional.empty();
    private OptionalLong mReservedMillis = OptionalLong.empty();
    private boolean mCounted;
    private boolean mEnded;

    RequestExchange(
            RelayContext relay,
            RelayRequest request,
            EventLoop loop,
            RequestBytes bytes,
            HttpResponseWriter writer,
            RetryAfter retryAfter,
            StopCheck stopCheck,
            RequestEndListener endListener) {
        mRelay = relay;
        mRequest = request;
        mLoop = loop;
        mBytes = bytes;
        mStopCheck = stopCheck;
        mEndListener = endListener;
        mCrashGuard = new CrashGuard(relay, request, loop);
        mStartMillis = relay.clock().millis();
        mRetryPolicy = new RetryPolicy(request.retryLimits(), mStartMillis);
        mStream = new StreamPhase(relay, request, loop);
        mResponse =
                new CallerResponse(
                        relay,
                        writer,
                        request,
                        bytes,
                        retryAfter,
                        mRetryPolicy,
                        request.binding(),
                        mStream::began);
        mRequestLog = new RequestLog(relay, request, mRetryPolicy, mResponse, mStartMillis);
        mSameServer =
                new SameServerPhase(
                        relay,
                        request,
                        loop,
                        mRetryPolicy,
                        mCrashGuard,
                        mRequestLog,
                        new SameServerListener());
        mHandover =
                new HandoverPhase(
                        relay,
                        request,
                        loop,
                        mRetryPolicy,
                        mCrashGuard,
                        mResponse,
                        new HandoverListener());
        mAttempts =
                new RequestAttempts(
                        relay,
                        request,
                        loop,
                        bytes,
                        mRetryPolicy,
                        mCrashGuard,
                        mResponse,
                        mRequestLog,
                        mHandover,
                        mReached,
                        new AttemptListener());
    }

    private final class SameServerListener implements SameServerPhase.Listener {

        @Override
        public boolean ended() {
            return mEnded;
        }

        @Override
        public boolean takeRetry() {
            return RequestExchange.this.takeRetry();
        }

        @Override
        public void resumes() {
            mResponse.discardPartial();
        }

        @Override
        public void sendAgain(PlacementPhase.Placed placed) {
            mAttempts.open(placed);
        }

        @Override
        public void sendElsewhere(BackendAttempt attempt, SendOutcome outcome, String cause) {
            retryOrFail(attempt, outcome, cause);
        }
    }

    private final class AttemptListener implements RequestAttempts.Listener {

        @Override
        public void ended(BackendAttempt attempt, SendOutcome outcome, String cause) {
            mSameServer.attemptEnded(attempt, outcome, cause, mAttempts.prefillEngine());
        }

        @Override
        public void handoverEnded(SendOutcome outcome, String cause) {
            RequestExchange.this.handoverEnded(outcome, cause);
        }
    }

    private void handoverEnded(SendOutcome outcome, String cause) {
        // A host that has refused has sent nothing to a server. Any other may have used all
        // attempts of the request.
        retryOrFail(
                outcome,
                cause,
                outcome::unsent,
                decision -> mRequestLog.handoverEnded(outcome, cause, decision));
    }

    private final class HandoverListener implements HandoverPhase.Listener {

        @Override
        public void ended(SendOutcome outcome, String cause) {
            handoverEnded(outcome, cause);
        }

        @Override
        public void replied(Helper helper, ResponseHeaders head) {
            boolean notRun = CallerReply.isNotRun(head.status().code());
            SendOutcome outcome = notRun ? SendOutcome.REJECTED : SendOutcome.UNKNOWN;
            mRetryPolicy.endSend(outcome, mRelay.clock().millis(), () -> false);
            fail(outcome, "refused by host " + helper.host(), Optional.of(head));
        }
    }

    void start() {
        boolean handOver = mHandover.isRequired();
        boolean counted = mRequest.handover().map(HandoverTerms::counted).orElse(false);
        // The host that sends a request to servers counts it.
        if (!handOver && !counted) {
            mRelay.budget().recordRequest(mRequest.service());
            mCounted = true;
        }
        long remainingMillis = mRetryPolicy.remainingMillis(mStartMillis);
        mTimeout = PolledTimer.start(mLoop, this::timeOut, remainingMillis);
        // A request that is refused in any case is no demand for engines.
        if (mRequest.engine().isPresent() && !handOver && mCrashGuard.mayRun()) {
            mRelay.demand().recordStart(mRequest.service(), mRequest.caller().size());
        }
        if (mStream.isRequired()) {
            mStream.find(
                    (binding, millis) -> {
                        mRequestLog.streamTakenUp(binding, millis);
                        mResponse.bind(binding);
                        selectBackend();
                    });
        } else {
            selectBackend();
        }
    }

    /** Handles a closed caller connection or a cancelled response stream. */
    void callerDisconnected() {
        if (mEnded) {
            return;
        }
        mAttempts.cancel();
        mHandover.cancel();
        if (mRequest.ofOwnCaller()) {
            mRelay.metrics().recordDisconnect();
        }
        mRequestLog.callerDisconnected(mAttempts.backend());
        end();
    }

    private void selectBackend() {
        mBytes.sendEnded();
        if (!mCrashGuard.mayRun()) {
            refuseQuarantined();
            return;
        }
        long holdMillis = mCrashGuard.holdMillis();
        if (holdMillis > 0) {
            mLoop.schedule(this::endHold, holdMillis, TimeUnit.MILLISECONDS);
            return;
        }
        if (mCrashGuard.isHeldTooLong()) {
            fail(SendOutcome.NOT_SENT, CrashGuard.HELD_REASON);
            return;
        }
        if (!mayBePassedOn()) {
            refuseInStop();
            return;
        }
        if (mResponse.binding().kind() == StreamBinding.Kind.UNKNOWN) {
            fail(StreamPhase.Refusal.VERSION_UNKNOWN);
            return;
        }
        if (mHandover.isRequired()) {
            handOver();
            return;
        }
        if (mResponse.binding().binds() && !mStream.showsVersions()) {
            fail(StreamPhase.Refusal.VERSION_UNPROVED);
            return;
        }
        long now = mRelay.clock().millis();
        BackendQuery query =
                mAttempts.query(BytesRefusal.serversToAvoid(mRelay, mRequest, mAttempts.tried()));
        if (query.binding().binds() && !mRelay.registry().mayServe(query, now)) {
            mHandover.decide(this::selectBackend, () -> fail(StreamPhase.Refusal.VERSION_GONE));
            return;
        }
        PlacementPhase placement =
                new PlacementPhase(
                        mRelay,
                        mRequest,
                        mBytes::trySend,
                        mLoop,
                        query,
                        !mAttempts.tried().isEmpty(),
                        this::takeRetry,
                        mCrashGuard,
                        mReached,
                        mRequestLog::searched,
                        new PlacementPhase.Listener() {
                            @Override
                            public void placed(PlacementPhase.Placed placed) {
                                mPlacement = Optional.empty();
                                send(placed);
                            }

                            @Override
                            public void notPlaced(String reason) {
                                mPlacement = Optional.empty();
                                mHandover.decide(
                                        RequestExchange.this::selectBackend,
                                        () -> fail(SendOutcome.NOT_SENT, reason));
                            }
                        });
        mPlacement = Optional.of(placement);
        mRequestLog.serversPassedOver(
                mRelay.registry().directives().passedOver(mAttempts.query(Set.of()), now));
        placement.start(now + mRetryPolicy.remainingMillis(now));
    }

    private void endHold() {
        if (!mEnded) {
            selectBackend();
        }
    }

    /** Hands the request to another host, or refuses it at once if none is left. */
    private void handOver() {
        Optional<Helper> helper = mHandover.choose();
        if (helper.isEmpty()) {
            fail(SendOutcome.NOT_SENT, "no host reaches the service");
            return;
        }
        mHandover.send(helper.get(), mCounted);
    }

    private OptionalLong directiveWait() {
        return mRelay.registry()
                .directives()
                .waitMillis(mAttempts.query(Set.of()), mRelay.clock().millis());
    }

    private void send(PlacementPhase.Placed placed) {
        Backend backend = placed.backend();
        if (placed.reservedMillis().isPresent()) {
            mReservedMillis = placed.reservedMillis();
        }
        if (mBytes.isClosed()) {
            // The caller has left; its notice is queued behind this call.
            placed.release(mRelay, mRequest);
            callerDisconnected();
            return;
        }
        if (!mCrashGuard.mayRun()) {
            placed.release(mRelay, mRequest);
            refuseQuarantined();
            return;
        }
        if (!mayBePassedOn()) {
            placed.release(mRelay, mRequest);
            refuseInStop();
            return;
        }
        if (!mRelay.registry().directives().acceptsWork(backend, mRelay.clock().millis())
                || !mBytes.trySend(backend.id())) {
            placeAgain(placed);
            return;
        }
        mAttempts.tried().add(backend.id());
        mRetryPolicy.beginSend();
        mAttempts.open(placed);
    }

    /** Returns whether a planned stop lets the request be passed on; retries are not affected. */
    private boolean mayBePassedOn() {
        long remainingMillis = mRetryPolicy.remainingMillis(mRelay.clock().millis());
        return mRetryPolicy.mayHaveRun() || mStopCheck.accepts(mRequest.route(), remainingMillis);
    }

    private void refuseInStop() {
        fail(SendOutcome.NOT_SENT, StopCheck.REASON, Optional.of(mStopCheck.refusal()));
    }

    /** Looks for another server after the chosen one has asked for no further work. */
    private void placeAgain(PlacementPhase.Placed placed) {
        placed.release(mRelay, mRequest);
        // A second prefill of the request counts as a retry.
        if (placed.prompt().isEmpty() || takeRetry()) {
            selectBackend();
        } else {
            fail(SendOutcome.NOT_SENT, "engine takes no further work, retry budget empty");
        }
    }

    private void retryOrFail(BackendAttempt attempt, SendOutcome outcome, String cause) {
        retryOrFail(
                outcome,
                cause,
                this::takeRetryOfSend,
                decision -> mRequestLog.attemptEnded(attempt, outcome, cause, decision));
    }

    private void retryOrFail(
            SendOutcome outcome,
            String cause,
            BooleanSupplier budget,
            Consumer<RetryDecision> logger) {
        RetryDecision decision = mRetryPolicy.endSend(outcome, mRelay.clock().millis(), budget);
        if (decision == RetryDecision.PASS_ON) {
            complete();
            return;
        }
        logger.accept(decision);
        if (decision == RetryDecision.SEND_AGAIN) {
            sendAgain(outcome);
        } else if (mRetryPolicy.endsUnsent()) {
            mHandover.decide(() -> sendAgain(outcome), () -> fail(outcome, cause));
        } else {
            fail(outcome, cause);
        }
    }

    private void sendAgain(SendOutcome outcome) {
        mRelay.metrics().recordRetry(outcome);
        mResponse.discardPartial();
        selectBackend();
    }

    /**
     * Takes a retry, unless part of a plain response was forwarded. Another response could only be
     * appended to it; a stream continues after its last event instead.
     */
    private boolean takeRetryOfSend() {
        boolean started = mRetryPolicy.isForwarding() && !mRequest.route().kind().streams();
        return !started && mCrashGuard.mayRun() && takeRetry();
    }

    private boolean takeRetry() {
        return mRelay.budget().tryTake(mRequest.service());
    }

    private void complete() {
        if (!mHandover.hasRun()) {
            mCrashGuard.ranToItsEnd(HttpStatus.valueOf(mResponse.status()).isSuccess());
        }
        mResponse.finish();
        if (!mHandover.hasRun()) {
            mRequestLog.recordDemand();
        }
        if (mRequest.ofOwnCaller()) {
            mRelay.metrics().recordResponse(mRequest.route().kind(), mRequestLog.elapsedMillis());
        }
        mRequestLog.completed(
                mAttempts.backend(),
                mAttempts.prefillEngine(),
                mReservedMillis.isPresent() ? mReservedMillis.getAsLong() - mStartMillis : -1,
                mCrashGuard.partsIfTracked(),
                mAttempts.connection());
        end();
    }

    private void timeOut() {
        if (mEnded) {
            deliveryTimedOut();
            return;
        }
        SendOutcome unsent = mSameServer.isReserving() ? SendOutcome.UNKNOWN : SendOutcome.NOT_SENT;
        Optional<SendOutcome> ended = mAttempts.timeOut();
        fail(ended.or(mHandover::cancel).orElse(unsent), "request timed out");
        if (mRetryPolicy.isForwarding()) {
            // The caller has stopped reading, and the abort is queued behind what it has not read.
            deliveryTimedOut();
        }
    }

    /**
     * Aborts a response that its caller has not taken when it stops waiting, if the bytes held are
     * bounded. The route's timeout alone does not end it: a response that is ready is delivered,
     * even if it is late.
     */
    private void deliveryTimedOut() {
        OptionalLong callerMillis = mRequest.caller().callerTimeoutMillis();
        if (callerMillis.isEmpty() || mRelay.bytes().bounds().responseBytes() == 0) {
            return;
        }
        long remaining = mStartMillis + callerMillis.getAsLong() - mRelay.clock().millis();
        if (remaining > 0) {
            mTimeout = PolledTimer.start(mLoop, this::timeOut, remaining);
        } else {
            mResponse.abortDelivery();
            mRequestLog.truncated(mAttempts.backend(), "caller did not take the response in time");
        }
    }

    private void fail(StreamPhase.Refusal refusal) {
        fail(SendOutcome.NOT_SENT, mStream.refused(refusal));
    }

    private void refuseQuarantined() {
        mCrashGuard.logRefusal();
        fail(SendOutcome.NOT_SENT, CrashGuard.REASON);
    }

    /** Ends the request without a complete response of a backend server. */
    private void fail(SendOutcome outcome, String reason) {
        fail(outcome, reason, Optional.empty());
    }

    /**
     * Ends the request without a complete response of a backend server.
     *
     * @param refusal refusal of a host to which the request was handed, or because of a planned
     *     stop; empty for none
     */
    private void fail(SendOutcome outcome, String reason, Optional<ResponseHeaders> refusal) {
        CallerReply reply = mRetryPolicy.reply(outcome, mRelay.clock().millis());
        if (mRetryPolicy.isForwarding()) {
            mStream.brokenOff();
            mResponse.abort();
            mRequestLog.truncated(mAttempts.backend(), reason);
        } else {
            refusal.filter(head -> head.status().code() == reply.status())
                    .ifPresentOrElse(
                            mResponse::passRefusal,
                            () -> mResponse.refuse(reply, retryDelayMillis()));
            mRequestLog.failed(reply, reason);
        }
        if (mRequest.ofOwnCaller()) {
            mRelay.metrics().recordRefusal(reply);
            mRequest.recordRefusal(mRelay.metrics(), reply);
        }
        end();
    }

    /** Returns the time after which a refused caller may return, in milliseconds. */
    private long retryDelayMillis() {
        if (mStream.retryMillis().isPresent()) {
            return mStream.retryMillis().getAsLong();
        }
        return LongStream.of(
                        mRequest.minRetryDelayMillis(mRelay.demand()),
                        directiveWait().orElse(0),
                        mCrashGuard.retryDelayMillis())
                .max()
                .getAsLong();
    }

    private void end() {
        mEnded = true;
        mStream.cancel();
        mBytes.sendEnded();
        mResponse.whenDelivered(() -> mTimeout.cancel());
        mPlacement.ifPresent(PlacementPhase::cancel);
        mPlacement = Optional.empty();
        mEndListener.ended(mRetryPolicy.mayHaveRun());
    }
}
