package org.cyclamenpaddle.relay.front;

import com.linecorp.armeria.common.ResponseHeaders;
import io.netty.channel.EventLoop;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.cyclamenpaddle.core.id.HostId;
import org.cyclamenpaddle.relay.backend.SendOutcome;
import org.cyclamenpaddle.relay.handover.HandoverEvent;
import org.cyclamenpaddle.relay.handover.HandoverHeaders;
import org.cyclamenpaddle.relay.handover.HandoverTerms;
import org.cyclamenpaddle.relay.handover.Helper;
import org.cyclamenpaddle.relay.log.RelayEvent;
import org.cyclamenpaddle.relay.retry.RetryPolicy;
import org.cyclamenpaddle.routing.handover.HandoverRefusal;

/**
 * Hands one request to other hosts, one at a time, while this host has no path to the servers of
 * its service.
 *
 * <p>A request that another host has handed over is never handed on. Runs on the event loop of the
 * caller's connection.
 */
final class HandoverPhase {

    /** Notified of the end of each attempt, unless it was cancelled. */
    interface Listener {

        /** Called when a server has responded, or the connection to the host failed. */
        void ended(SendOutcome outcome, String cause);

        /** Called when a host has ended the request without a server's response. */
        void replied(Helper helper, ResponseHeaders head);
    }

    private final RelayContext mRelay;
    private final RelayRequest mRequest;
    private final EventLoop mLoop;
    private final RetryPolicy mRetryPolicy;
    private final CrashGuard mCrashGuard;
    private final CallerResponse mResponse;
    private final Listener mListener;
    private final Set<HostId> mAsked = new HashSet<>();
    private Optional<HandoverAttempt> mAttempt = Optional.empty();
    private boolean mRun;
    private boolean mDeciding;

    HandoverPhase(
            RelayContext relay,
            RelayRequest request,
            EventLoop loop,
            RetryPolicy retryPolicy,
            CrashGuard crashGuard,
            CallerResponse response,
            Listener listener) {
        mRelay = relay;
        mRequest = request;
        mLoop = loop;
        mRetryPolicy = retryPolicy;
        mCrashGuard = crashGuard;
        mResponse = response;
        mListener = listener;
    }

    /** Returns whether only another host can run the request now. */
    boolean isRequired() {
        return mRequest.handover().isEmpty()
                && mRelay.reachability().isCutOff(mRequest.service())
                && mRelay.helpers().hasHelpers();
    }

    /**
     * Decides whether another host is to go on with a request that no server is left for. If none
     * was reached and it is not known yet whether this host is cut off, new checks show it.
     *
     * <p>Calls one of the parameters, later on the event loop if checks are needed, and none once
     * {@link #cancel} was called.
     *
     * @param handOver called if another host is to go on with it; {@link #isRequired} holds then
     * @param end called if the request ends
     */
    void decide(Runnable handOver, Runnable end) {
        boolean helped = mRequest.handover().isEmpty() && mRelay.helpers().hasHelpers();
        if (!helped || isRequired() || !mRetryPolicy.serverUnreached()) {
            decided(handOver, end);
            return;
        }
        mDeciding = true;
        mRelay.reachability()
                .inquire(mRequest.service())
                .thenAccept(
                        cutOff ->
                                mLoop.execute(
                                        () -> {
                                            if (mDeciding) {
                                                mDeciding = false;
                                                decided(handOver, end);
                                            }
                                        }));
    }

    private void decided(Runnable handOver, Runnable end) {
        if (isRequired()) {
            handOver.run();
        } else {
            end.run();
        }
    }

    /** Returns the host that the request is to be sent to; empty if none is left. */
    Optional<Helper> choose() {
        Optional<Helper> helper = mRelay.helpers().choose(mRequest.service(), mAsked);
        if (helper.isEmpty()) {
            mRelay.metrics().recordHandover(HandoverEvent.NO_HOST);
        }
        return helper;
    }

    /**
     * Sends the request to a host, which may use all attempts that are left.
     *
     * @param counted whether this host has counted it for the retry budget
     */
    void send(Helper helper, boolean counted) {
        HandoverTerms terms = terms(counted);
        mRetryPolicy.beginSend();
        HandoverAttempt attempt =
                attempt(
                        helper,
                        terms,
                        mResponse,
                        new Listener() {
                            @Override
                            public void ended(SendOutcome outcome, String cause) {
                                mAttempt = Optional.empty();
                                mListener.ended(outcome, cause);
                            }

                            @Override
                            public void replied(Helper host, ResponseHeaders head) {
                                mAttempt = Optional.empty();
                                mListener.replied(host, head);
                            }
                        });
        mAttempt = Optional.of(attempt);
        attempt.start(mLoop);
    }

    /**
     * Creates an attempt beside one at a silent server, which the caller of this method owns.
     *
     * @param terms terms of the attempt, from before it was counted
     * @param response takes its response
     */
    HandoverAttempt beside(
            Helper helper, HandoverTerms terms, ResponseSink response, Listener listener) {
        return attempt(helper, terms, response, listener);
    }

    private HandoverAttempt attempt(
            Helper helper, HandoverTerms terms, ResponseSink response, Listener listener) {
        mAsked.add(helper.host());
        mRelay.metrics().recordHandover(HandoverEvent.HANDED_OVER);
        mRelay.log().log(
                RelayEvent.REQUEST_HANDED_OVER,
                mRequest.caller().id(),
                mRequest.route().name(),
                mRequest.service(),
                helper.host(),
                mAsked.size());
        return new HandoverAttempt(
                mRelay,
                mRequest,
                helper,
                terms,
                response,
                new HandoverAttempt.EndListener() {
                    @Override
                    public void ended(SendOutcome outcome, String cause) {
                        mRun = outcome == SendOutcome.SUCCEEDED;
                        listener.ended(outcome, cause);
                    }

                    @Override
                    public void declined(HandoverRefusal refusal, Optional<ResponseHeaders> head) {
                        recordRefusal(helper, refusal, head);
                        listener.ended(
                                SendOutcome.WITHHELD,
                                "host " + helper.host() + " refused: " + refusal);
                    }

                    @Override
                    public void replied(ResponseHeaders head) {
                        listener.replied(helper, head);
                    }
                });
    }

    /** Returns the terms of an attempt that is about to begin. */
    HandoverTerms terms(boolean counted) {
        return new HandoverTerms(
                mRelay.helpers().self(),
                mRequest.service(),
                mRequest.version(),
                OptionalLong.of(mRequest.treatment()),
                mRequest.teamName(),
                mRetryPolicy.remainingMillis(mRelay.clock().millis()),
                mRetryPolicy.attemptsLeft(),
                counted,
                mResponse.lastEventId(),
                mResponse.binding(),
                mCrashGuard.fingerprintToHandOver());
    }

    private void recordRefusal(
            Helper helper, HandoverRefusal refusal, Optional<ResponseHeaders> head) {
        mRelay.metrics().recordHandover(HandoverEvent.REFUSED);
        mRelay.log().log(
                RelayEvent.HANDOVER_REFUSED,
                mRequest.caller().id(),
                mRequest.service(),
                helper.host(),
                refusal);
        mRelay.helpers()
                .refused(
                        helper,
                        mRequest.service(),
                        refusal,
                        head.flatMap(HandoverHeaders::reaches));
    }

    /** Returns whether another host has run the request, which then measures its demand. */
    boolean hasRun() {
        return mRun;
    }

    /**
     * Cancels the attempt or decision in progress.
     *
     * @return how far the attempt had come; empty if there is none
     */
    Optional<SendOutcome> cancel() {
        mDeciding = false;
        Optional<SendOutcome> outcome = mAttempt.map(HandoverAttempt::cancel);
        mAttempt = Optional.empty();
        return outcome;
    }
}
