package org.cyclamenpaddle.relay.front;

import com.linecorp.armeria.common.ResponseHeaders;
import io.netty.channel.EventLoop;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.relay.backend.Backend;
import org.cyclamenpaddle.relay.backend.BackendQuery;
import org.cyclamenpaddle.relay.backend.SendOutcome;
import org.cyclamenpaddle.relay.handover.HandoverTerms;
import org.cyclamenpaddle.relay.handover.Helper;
import org.cyclamenpaddle.relay.retry.CallerReply;
import org.cyclamenpaddle.relay.retry.RetryPolicy;
import org.cyclamenpaddle.relay.route.RouteKind;
import org.cyclamenpaddle.relay.wire.BackendCall;
import org.cyclamenpaddle.routing.buffer.RequestBytes;

/**
 * The attempts of one request that are in progress: one at a server, and at most one beside it
 * while that server is silent.
 *
 * <p>Of two attempts the one that sends the next event, or the whole of a plain response, is kept;
 * only then is the other one cancelled. If one of them fails, the other goes on. Runs on the event
 * loop of the caller's connection.
 */
final class RequestAttempts {

    /** Notified of the end of the only attempt, unless it was cancelled or timed out. */
    interface Listener {

        /** Called when the attempt was at a server. */
        void ended(BackendAttempt attempt, SendOutcome outcome, String cause);

        /** Called when the attempt went through another host. */
        void handoverEnded(SendOutcome outcome, String cause);
    }

    /** One send; its attempt is set when it is opened. */
    private static final class Send {
        private final Optional<PlacementPhase.Placed> mPlaced;
        private final Optional<StagedResponse> mStaged;
        private Attempt mAttempt;

        /**
         * Creates a send without an attempt.
         *
         * @param placed server for it; empty if it goes through another host
         * @param staged its response, if it is the second of two
         */
        Send(Optional<PlacementPhase.Placed> placed, Optional<StagedResponse> staged) {
            mPlaced = placed;
            mStaged = staged;
        }
    }

    private static final String NO_CONNECTION = "none";

    private final RelayContext mRelay;
    private final RelayRequest mRequest;
    private final EventLoop mLoop;
    private final RequestBytes mBytes;
    private final RetryPolicy mRetryPolicy;
    private final CrashGuard mCrashGuard;
    private final CallerResponse mResponse;
    private final RequestLog mLog;
    private final HandoverPhase mHandover;
    private final Listener mListener;
    private final SilenceWatch mWatch;
    private final ReachedServers mReached;
    private final Set<BackendId> mTried = new HashSet<>();
    private Optional<Send> mFirst = Optional.empty();
    private Optional<Send> mSecond = Optional.empty();
    private Optional<PlacementPhase.Placed> mPlaced = Optional.empty();
    private long mEventsBeforeSecond;
    private boolean mForwardingBeforeSecond;
    private String mConnection = NO_CONNECTION;

    RequestAttempts(
            RelayContext relay,
            RelayRequest request,
            EventLoop loop,
            RequestBytes bytes,
            RetryPolicy retryPolicy,
            CrashGuard crashGuard,
            CallerResponse response,
            RequestLog log,
            HandoverPhase handover,
            ReachedServers reached,
            Listener listener) {
        mRelay = relay;
        mRequest = request;
        mLoop = loop;
        mBytes = bytes;
        mRetryPolicy = retryPolicy;
        mCrashGuard = crashGuard;
        mResponse = response;
        mLog = log;
        mHandover = handover;
        mReached = reached;
        mListener = listener;
        mWatch =
                new SilenceWatch(
                        relay,
                        request,
                        loop,
                        bytes,
                        retryPolicy,
                        crashGuard,
                        reached,
                        log,
                        new SilenceWatch.Listener() {
                            @Override
                            public BackendQuery query(Set<BackendId> avoid) {
                                return RequestAttempts.this.query(avoid);
                            }

                            @Override
                            public Set<BackendId> tried() {
                                return BytesRefusal.serversToAvoid(mRelay, mRequest, mTried);
                            }

                            @Override
                            public boolean handsOver() {
                                return mHandover.isRequired();
                            }

                            @Override
                            public boolean handOver() {
                                return handOverBeside();
                            }

                            @Override
                            public void placed(PlacementPhase.Placed placed) {
                                openSecond(placed);
                            }
                        });
    }

    /** Returns the servers to which the request was sent. */
    Set<BackendId> tried() {
        return mTried;
    }

    /** Returns the query for a server that is none of the given ones. */
    BackendQuery query(Set<BackendId> avoid) {
        return new BackendQuery(
                mRequest.service(), mRequest.caller().size(), avoid, mResponse.binding());
    }

    /** Returns the server of the attempt that was kept or opened last. */
    Optional<Backend> backend() {
        return mPlaced.map(PlacementPhase.Placed::backend);
    }

    /** Returns the connection of the attempt that ended last, for logs. */
    String connection() {
        return mConnection;
    }

    /** Returns the engine that was to prefill the prompt for that attempt. */
    Optional<Backend> prefillEngine() {
        return mPlaced.flatMap(PlacementPhase.Placed::prefillEngine);
    }

    /** Sends the request to a server, while it is in progress at none. */
    void open(PlacementPhase.Placed placed) {
        Send send = new Send(Optional.of(placed), Optional.empty());
        mFirst = Optional.of(send);
        mPlaced = Optional.of(placed);
        BackendAttempt attempt = attempt(send, placed, mResponse);
        attempt.start(mLoop);
        if (mFirst.filter(send::equals).isPresent()) {
            mWatch.watch(attempt);
        }
    }

    private void openSecond(PlacementPhase.Placed placed) {
        Backend backend = placed.backend();
        boolean accepted =
                !mBytes.isClosed()
                        && mFirst.isPresent()
                        && mCrashGuard.mayRun()
                        && mRelay.registry()
                                .directives()
                                .acceptsWork(backend, mRelay.clock().millis())
                        && mBytes.trySendBeside(backend.id());
        if (!accepted) {
            placed.release(mRelay, mRequest);
            mRelay.budget().putBack(mRequest.service());
            return;
        }
        mTried.add(backend.id());
        StagedResponse staged = beginSecond();
        Send send = new Send(Optional.of(placed), Optional.of(staged));
        mSecond = Optional.of(send);
        attempt(send, placed, staged).start(mLoop);
    }

    /** Hands the request over beside a silent server, and returns whether a host is left for it. */
    private boolean handOverBeside() {
        Optional<Helper> helper = mHandover.choose();
        helper.ifPresent(
                host -> {
                    HandoverTerms terms = mHandover.terms(true);
                    StagedResponse staged = beginSecond();
                    Send send = new Send(Optional.empty(), Optional.of(staged));
                    HandoverAttempt attempt =
                            mHandover.beside(host, terms, staged, new HandoverListener(send));
                    send.mAttempt = attempt;
                    mSecond = Optional.of(send);
                    attempt.start(mLoop);
                });
        return helper.isPresent();
    }

    private StagedResponse beginSecond() {
        mWatch.stop();
        mRetryPolicy.beginSecondSend();
        mRelay.metrics().recordRetry(SendOutcome.SILENT);
        mEventsBeforeSecond = mResponse.events();
        mForwardingBeforeSecond = mResponse.isForwarding();
        return new StagedResponse(mResponse, mBytes, this::keepSecond);
    }

    private final class HandoverListener implements HandoverPhase.Listener {

        private final Send mSend;

        HandoverListener(Send send) {
            mSend = send;
        }

        @Override
        public void ended(SendOutcome outcome, String cause) {
            RequestAttempts.this.ended(mSend, outcome, cause);
        }

        @Override
        public void replied(Helper helper, ResponseHeaders head) {
            boolean notRun = CallerReply.isNotRun(head.status().code());
            RequestAttempts.this.ended(
                    mSend,
                    notRun ? SendOutcome.REJECTED : SendOutcome.UNKNOWN,
                    "refused by host " + helper.host());
        }
    }

    private BackendAttempt attempt(Send send, PlacementPhase.Placed placed, ResponseSink sink) {
        BackendCall call =
                new BackendCall(
                        placed.backend(),
                        mRetryPolicy.remainingMillis(mRelay.clock().millis()),
                        false,
                        placed.prompt(),
                        placed.reservation(),
                        mRequest.teamName(),
                        mRequest.enginePriority(),
                        mResponse.lastEventId());
        BackendAttempt attempt =
                new BackendAttempt(
                        mRelay,
                        mRequest,
                        call,
                        sink,
                        new BackendAttempt.Terms(
                                placed.prefillEngine().isPresent(),
                                connection(send, placed),
                                mCrashGuard,
                                mRetryPolicy::recordDuplicateSend,
                                () -> heard(send)),
                        (outcome, cause) -> ended(send, outcome, cause));
        send.mAttempt = attempt;
        return attempt;
    }

    private BackendAttempt.Connection connection(Send send, PlacementPhase.Placed placed) {
        if (!mReached.add(placed.backend())) {
            return BackendAttempt.Connection.NEW;
        }
        if (placed.reservation().isPresent()) {
            return BackendAttempt.Connection.RECENTLY_USED;
        }
        // The first send may be on a pooled connection that was lost without notice. Others may be
        // lost with it, so the second one opens its own.
        return mRequest.route().kind() == RouteKind.IDEMPOTENT && send.mStaged.isEmpty()
                ? BackendAttempt.Connection.POOLED
                : BackendAttempt.Connection.NEW;
    }

    /**
     * Cancels the second attempt if the first one has sent the next event, or anything that was
     * forwarded as the beginning of the response. The second server was chosen for a response that
     * had not begun, and may have another version or another type of response.
     */
    private void heard(Send send) {
        boolean firstGoesOn =
                mResponse.events() > mEventsBeforeSecond
                        || mResponse.isForwarding() && !mForwardingBeforeSecond;
        if (firstGoesOn && mSecond.isPresent() && mFirst.filter(send::equals).isPresent()) {
            dropSecond();
        }
    }

    private void dropSecond() {
        Send dropped = mSecond.orElseThrow();
        mSecond = Optional.empty();
        dropped.mStaged.ifPresent(StagedResponse::discard);
        putBackIfUnsent(drop(dropped, mFirst.orElseThrow()));
        watchFirst();
    }

    /** Continues with the second attempt, which has sent the next event, and cancels the first. */
    private void keepSecond() {
        Send dropped = mFirst.orElseThrow();
        takeOver();
        drop(dropped, mFirst.orElseThrow());
    }

    /** Makes the second attempt the only one. */
    private void takeOver() {
        Send kept = mSecond.orElseThrow();
        mSecond = Optional.empty();
        mFirst = Optional.of(kept);
        mPlaced = kept.mPlaced.or(() -> mPlaced);
        kept.mStaged.ifPresent(StagedResponse::keep);
        watchFirst();
    }

    /** Watches the only attempt. Another host watches the servers that it uses itself. */
    private void watchFirst() {
        if (mFirst.orElseThrow().mAttempt instanceof BackendAttempt attempt) {
            mWatch.watch(attempt);
        }
    }

    private SendOutcome drop(Send dropped, Send kept) {
        SendOutcome outcome = dropped.mAttempt.cancel();
        mRetryPolicy.endOneOfTwo(outcome);
        release(dropped, outcome);
        mLog.oneOfTwoEnded(dropped.mAttempt, outcome, "other server responded", kept.mAttempt);
        return outcome;
    }

    /** Returns the retry of a second send of which nothing has left this host. */
    private void putBackIfUnsent(SendOutcome outcome) {
        if (outcome.unsent()) {
            mRelay.budget().putBack(mRequest.service());
        }
    }

    private void ended(Send send, SendOutcome outcome, String cause) {
        boolean second = mSecond.filter(send::equals).isPresent();
        if (outcome == SendOutcome.SUCCEEDED) {
            if (second) {
                keepSecond();
                send.mStaged.ifPresent(staged -> staged.forwardStaged(mRelay.clock().millis()));
            } else if (mSecond.isPresent()) {
                dropSecond();
            }
        } else if (mSecond.isPresent()) {
            oneOfTwoFailed(send, second, outcome, cause);
            return;
        }
        mWatch.stop();
        mFirst = Optional.empty();
        send.mPlaced.ifPresent(placed -> placed.releaseUnused(mRelay, outcome));
        if (send.mAttempt instanceof BackendAttempt attempt) {
            mConnection = attempt.connection();
            mListener.ended(attempt, outcome, cause);
        } else {
            mConnection = NO_CONNECTION;
            mListener.handoverEnded(outcome, cause);
        }
    }

    private void oneOfTwoFailed(Send failed, boolean second, SendOutcome outcome, String cause) {
        mRetryPolicy.endOneOfTwo(outcome);
        release(failed, outcome);
        if (second) {
            mSecond = Optional.empty();
            failed.mStaged.ifPresent(StagedResponse::discard);
            putBackIfUnsent(outcome);
            watchFirst();
        } else {
            Send kept = mSecond.orElseThrow();
            takeOver();
            kept.mStaged.ifPresent(staged -> staged.forwardStaged(mRelay.clock().millis()));
        }
        mLog.oneOfTwoEnded(failed.mAttempt, outcome, cause, mFirst.orElseThrow().mAttempt);
    }

    /** Cancels all attempts because the caller disconnected. */
    void cancel() {
        mWatch.stop();
        mSecond.ifPresent(send -> release(send, send.mAttempt.cancel()));
        mFirst.ifPresent(send -> release(send, send.mAttempt.cancel()));
        mSecond = Optional.empty();
        mFirst = Optional.empty();
    }

    /**
     * Cancels all attempts at the request's timeout.
     *
     * @return how far the first one had come; empty if there is none
     */
    Optional<SendOutcome> timeOut() {
        mWatch.stop();
        mSecond.ifPresent(
                send -> {
                    SendOutcome outcome = send.mAttempt.timeOut();
                    mRetryPolicy.endOneOfTwo(outcome);
                    release(send, outcome);
                });
        mSecond = Optional.empty();
        Optional<SendOutcome> ended =
                mFirst.map(
                        send -> {
                            SendOutcome outcome = send.mAttempt.timeOut();
                            release(send, outcome);
                            return outcome;
                        });
        mFirst = Optional.empty();
        return ended;
    }

    /** Releases what is held for a send while the request goes on elsewhere, or ends. */
    private void release(Send send, SendOutcome outcome) {
        send.mPlaced.ifPresent(
                placed -> {
                    mBytes.sendEnded(placed.backend().id());
                    placed.releaseUnused(mRelay, outcome);
                });
    }
}
