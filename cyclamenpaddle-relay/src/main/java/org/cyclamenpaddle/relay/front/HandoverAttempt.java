package org.cyclamenpaddle.relay.front;

import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.ResponseHeaders;
import io.netty.channel.EventLoop;
import java.util.Optional;
import org.cyclamenpaddle.core.id.SoftwareVersion;
import org.cyclamenpaddle.engine.http.ResponseEnd;
import org.cyclamenpaddle.engine.http.TruncatedResponseException;
import org.cyclamenpaddle.relay.backend.SendOutcome;
import org.cyclamenpaddle.relay.handover.HandoverHeaders;
import org.cyclamenpaddle.relay.handover.HandoverTerms;
import org.cyclamenpaddle.relay.handover.Helper;
import org.cyclamenpaddle.relay.wire.BackendResponse;
import org.cyclamenpaddle.routing.handover.HandoverRefusal;

/** One attempt to have another host run a request, up to its typed outcome. */
final class HandoverAttempt implements Attempt, ExchangeListener {

    /** Notified once of the outcome, unless the attempt was cancelled or timed out. */
    interface EndListener {

        /** Called when a server has responded through the host, or the connection to it failed. */
        void ended(SendOutcome outcome, String cause);

        /** Called when the host has not taken the request; nothing was sent to a server. */
        void declined(HandoverRefusal refusal, Optional<ResponseHeaders> head);

        /** Called when the host has ended the request without a server's response. */
        void replied(ResponseHeaders head);
    }

    /**
     * Multiple of the route's target latency after which a host that has not responded is avoided.
     */
    private static final double SLOW_TARGETS = 3.5;

    private final RelayContext mRelay;
    private final RelayRequest mRequest;
    private final Helper mHelper;
    private final HandoverTerms mTerms;
    private final ResponseSink mResponse;
    private final EndListener mEndListener;
    private final long mStartMillis;
    private EventLoop mLoop;
    private BackendExchange mExchange;
    private BackendResponse mHead;
    private boolean mEnded;

    /** Creates an attempt; {@link #start} starts it. */
    HandoverAttempt(
            RelayContext relay,
            RelayRequest request,
            Helper helper,
            HandoverTerms terms,
            ResponseSink response,
            EndListener endListener) {
        mRelay = relay;
        mRequest = request;
        mHelper = helper;
        mTerms = terms;
        mResponse = response;
        mEndListener = endListener;
        mStartMillis = relay.clock().millis();
    }

    void start(EventLoop loop) {
        mLoop = loop;
        mExchange =
                BackendExchange.send(
                        mRelay.connections()
                                .hostClient(
                                        mHelper.endpoint().address(), mHelper.endpoint().port()),
                        HandoverHeaders.write(mRequest.caller().headers(), mTerms),
                        mRequest.body(),
                        mRelay.backendMessages(),
                        mLoop,
                        this);
        mExchange.subscribe();
    }

    /** Closes the connection to the host, which ends the run. */
    @Override
    public SendOutcome cancel() {
        SendOutcome outcome = mExchange.cancel();
        mEnded = true;
        if (mHead == null && elapsedMillis() > mRequest.route().targetMillis() * SLOW_TARGETS) {
            avoidHost();
        }
        return outcome;
    }

    @Override
    public SendOutcome timeOut() {
        return cancel();
    }

    @Override
    public String targetName() {
        return "host " + mHelper.host();
    }

    @Override
    public long elapsedMillis() {
        return mRelay.clock().millis() - mStartMillis;
    }

    private void avoidHost() {
        mRelay.helpers()
                .refused(
                        mHelper, mRequest.service(), HandoverRefusal.UNREACHABLE, Optional.empty());
    }

    @Override
    public void head(BackendResponse head) {
        mHead = head;
        if (!head.signed()) {
            mExchange.requestMore();
            return;
        }
        boolean ownResponse = head.requestId().map(mRequest.caller().id()::equals).orElse(false);
        if (!ownResponse || !mResponse.mayContinueWith(head)) {
            mExchange.cancel();
            end(SendOutcome.UNKNOWN, "response of host " + mHelper.host() + " does not fit");
            return;
        }
        Optional<SoftwareVersion> served = HandoverHeaders.servedVersion(head.headers());
        if (!served.map(mTerms.binding()::permits).orElse(!mTerms.binding().binds())) {
            // A host of an older build does not know the terms.
            mExchange.cancel();
            end(SendOutcome.UNKNOWN, "host " + mHelper.host() + " resumed at another version");
            return;
        }
        mRelay.helpers().taken(mHelper, mRequest.service());
        mResponse.head(head, served);
        mExchange.requestMore();
    }

    @Override
    public void data(HttpData data) {
        if (!mHead.signed() || !mHead.success() && mResponse.isForwarding()) {
            mExchange.requestMore();
            return;
        }
        mResponse.data(data, mRelay.clock().millis(), this::requestMore);
    }

    private void requestMore() {
        if (mLoop.inEventLoop()) {
            mExchange.requestMore();
        } else {
            mLoop.execute(mExchange::requestMore);
        }
    }

    @Override
    public void complete(ResponseEnd end) {
        if (mEnded) {
            return;
        }
        if (!mHead.signed()) {
            endWithoutServer(mHead.headers());
            return;
        }
        ResponseEnd judged = mResponse.ended(end);
        if (!judged.complete()) {
            failed(SendOutcome.UNKNOWN, new TruncatedResponseException(judged));
        } else {
            end(
                    mHead.success() ? SendOutcome.SUCCEEDED : SendOutcome.FAILED,
                    "status " + mHead.headers().status().code());
        }
    }

    private void endWithoutServer(ResponseHeaders head) {
        mEnded = true;
        Optional<HandoverRefusal> refusal = HandoverHeaders.refusal(head);
        if (refusal.isPresent()) {
            mEndListener.declined(refusal.get(), Optional.of(head));
        } else {
            mRelay.helpers().taken(mHelper, mRequest.service());
            mEndListener.replied(head);
        }
    }

    @Override
    public void failed(SendOutcome outcome, Throwable cause) {
        if (mEnded) {
            return;
        }
        if (outcome == SendOutcome.NOT_SENT) {
            mEnded = true;
            mEndListener.declined(HandoverRefusal.UNREACHABLE, Optional.empty());
        } else {
            end(outcome, String.valueOf(cause));
        }
    }

    private void end(SendOutcome outcome, String cause) {
        if (mEnded) {
            return;
        }
        mEnded = true;
        // Once the host has passed on a response, its server may have broken it off.
        if (outcome == SendOutcome.UNKNOWN && mHead == null) {
            avoidHost();
        }
        mEndListener.ended(outcome, cause);
    }
}
