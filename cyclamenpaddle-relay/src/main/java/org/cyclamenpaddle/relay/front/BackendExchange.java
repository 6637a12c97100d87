package org.cyclamenpaddle.relay.front;

import com.linecorp.armeria.client.ClientRequestContext;
import com.linecorp.armeria.client.ClientRequestContextCaptor;
import com.linecorp.armeria.client.Clients;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpObject;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatusClass;
import com.linecorp.armeria.common.ProtocolViolationException;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.logging.ClientConnectionTimings;
import com.linecorp.armeria.common.logging.RequestLogProperty;
import io.netty.channel.EventLoop;
import org.cyclamenpaddle.engine.http.CallFailure;
import org.cyclamenpaddle.engine.http.ResponseEnd;
import org.cyclamenpaddle.http.ResponseCheck;
import org.cyclamenpaddle.relay.backend.SendOutcome;
import org.cyclamenpaddle.relay.wire.BackendMessages;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;

/**
 * Sends one request to one backend server and reports the response to a listener.
 *
 * <p>All methods run on one event loop. After {@link #cancel} the listener receives no more calls
 * and the connection is closed, which ends the run at the server.
 */
final class BackendExchange implements Subscriber<HttpObject> {

    /**
     * Maximum number of interim responses (status 1xx) to one request. Without one, a server that
     * sends them forever would be read until the timeout of the request.
     */
    private static final int MAX_INTERIM_HEADS = 16;

    private final BackendMessages mMessages;
    private final ExchangeListener mListener;
    private final ClientRequestContext mContext;
    private final HttpResponse mResponse;
    private final EventLoop mLoop;
    private Subscription mSubscription;
    private ResponseHeaders mHead;
    private boolean mClosed;
    private int mInterimHeads;

    private BackendExchange(
            BackendMessages messages,
            ExchangeListener listener,
            ClientRequestContext context,
            HttpResponse response,
            EventLoop loop) {
        mLoop = loop;
        mMessages = messages;
        mListener = listener;
        mContext = context;
        mResponse = response;
    }

    /**
     * Sends a request. The response is not delivered before {@link #subscribe} is called.
     *
     * <p>Safeguard: a server can respond before this method returns. If the listener were notified
     * at once, it would receive a response to an exchange that it has not stored yet, fail, and
     * attribute the failure to the server. Subscribing is therefore a separate step, taken after
     * the exchange is stored.
     *
     * @param client client for the backend server
     * @param headers headers to send
     * @param body complete body
     * @param loop event loop on which the listener is called
     */
    static BackendExchange send(
            WebClient client,
            RequestHeaders headers,
            HttpData body,
            BackendMessages messages,
            EventLoop loop,
            ExchangeListener listener) {
        HttpRequest request =
                body.isEmpty() ? HttpRequest.of(headers) : HttpRequest.of(headers, body);
        try (ClientRequestContextCaptor captor = Clients.newContextCaptor()) {
            HttpResponse response = client.execute(request);
            return new BackendExchange(messages, listener, captor.get(), response, loop);
        }
    }

    /** Starts delivering the response to the listener. */
    void subscribe() {
        mResponse.subscribe(this, mLoop);
    }

    /** Requests the next part of the body. */
    void requestMore() {
        if (!mClosed && mSubscription != null) {
            mSubscription.request(1);
        }
    }

    /** Returns whether the connection was opened for this request, so that it was not stale. */
    boolean openedConnection() {
        if (!mContext.log().isAvailable(RequestLogProperty.SESSION)) {
            return false;
        }
        ClientConnectionTimings timings = mContext.log().partial().connectionTimings();
        return timings != null && timings.socketConnectDurationNanos() >= 0;
    }

    /**
     * Returns the connection of the request and its number there, for logs; the number may be that
     * of a later request once the response is complete.
     */
    String connection() {
        return isConnected() ? ResponseCheck.describe(mContext.log().partial().channel()) : "none";
    }

    /**
     * Cancels the exchange and closes its connection.
     *
     * <p>The connection is examined after the abort: the client writes nothing to one that it
     * obtains later.
     *
     * @return {@link SendOutcome#UNKNOWN} if a connection was open, else {@link
     *     SendOutcome#NOT_SENT}
     */
    SendOutcome cancel() {
        if (!mClosed) {
            mClosed = true;
            mResponse.abort();
        }
        return isConnected() ? SendOutcome.UNKNOWN : SendOutcome.NOT_SENT;
    }

    private boolean isConnected() {
        return mContext.log().isAvailable(RequestLogProperty.SESSION)
                && mContext.log().partial().channel() != null;
    }

    @Override
    public void onSubscribe(Subscription subscription) {
        mSubscription = subscription;
        if (mClosed) {
            subscription.cancel();
        } else {
            subscription.request(1);
        }
    }

    @Override
    public void onNext(HttpObject object) {
        if (mClosed) {
            return;
        }
        if (object instanceof HttpData data) {
            deliver(data);
            return;
        }
        boolean interim =
                object instanceof ResponseHeaders head
                        && head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        if (interim && ++mInterimHeads > MAX_INTERIM_HEADS) {
            mClosed = true;
            mResponse.abort();
            mListener.failed(
                    SendOutcome.UNKNOWN,
                    new ProtocolViolationException(
                            "more than " + MAX_INTERIM_HEADS + " interim responses"));
            return;
        }
        if (object instanceof ResponseHeaders head && !interim && mHead == null) {
            mHead = head;
            mListener.head(mMessages.response(head));
        }
        // Interim responses and trailers are not forwarded.
        requestMore();
    }

    /** Delivers a part of the body; one that is too long ends the exchange as a lost connection. */
    private void deliver(HttpData data) {
        try {
            mListener.data(data);
        } catch (ResponseTooLongException tooLong) {
            mClosed = true;
            mResponse.abort();
            mListener.failed(SendOutcome.UNKNOWN, tooLong);
        }
    }

    @Override
    public void onError(Throwable failure) {
        if (mClosed) {
            return;
        }
        mClosed = true;
        mListener.failed(outcome(failure), failure);
    }

    private SendOutcome outcome(Throwable failure) {
        if (CallWithheldException.causes(failure)) {
            return SendOutcome.WITHHELD;
        }
        if (isConnected() && ResponseCheck.foundJoinedHeads(mContext.log().partial().channel())) {
            return SendOutcome.MISMATCHED;
        }
        return CallFailure.of(mContext, failure) == CallFailure.NOT_CONNECTED
                ? SendOutcome.NOT_SENT
                : SendOutcome.UNKNOWN;
    }

    @Override
    public void onComplete() {
        if (mClosed) {
            return;
        }
        mClosed = true;
        mListener.complete(ResponseEnd.of(mHead));
    }
}
