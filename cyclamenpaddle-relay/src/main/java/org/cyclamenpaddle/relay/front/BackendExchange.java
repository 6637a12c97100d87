package org.cyclamenpaddle.relay.front;

import com.linecorp.armeria.client.ClientRequestContext;
import com.linecorp.armeria.client.ClientRequestContextCaptor;
import com.linecorp.armeria.client.Clients;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.ClosedSessionException;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.HttpObject;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatusClass;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.ResponseHeaders;
import io.netty.channel.EventLoop;
import org.cyclamenpaddle.engine.http.CallFailure;
import org.cyclamenpaddle.engine.http.ResetWatch;
import org.cyclamenpaddle.relay.backend.SendOutcome;
import org.cyclamenpaddle.relay.wire.BackendMessages;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;

/**
 * One request to one backend server over a connection of its own.
 *
 * <p>Everything happens on one event loop. After {@link #cancel} the listener hears nothing more
 * and the connection is closed, which ends the run at the server.
 */
final class BackendExchange implements Subscriber<HttpObject> {

    private final BackendMessages mMessages;
    private final ExchangeListener mListener;
    private final ClientRequestContext mContext;
    private final HttpResponse mResponse;
    private final EventLoop mLoop;
    private Subscription mSubscription;
    private boolean mHeadSeen;
    private boolean mEndsWithConnection;
    private boolean mClosed;

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
     * Sends a request; {@link #listen} begins to tell of its answer.
     *
     * <p>Safeguard: a server can answer before this method returns. Told at once, the listener
     * would meet an answer to an exchange that it does not hold yet, fail on it, and blame the
     * server. So that nothing is told before its owner has stored it, listening is a step of its
     * own.
     *
     * @param client of the backend server
     * @param headers as the server is to see them
     * @param body the whole body
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

    /** Begins to tell the listener of the answer. */
    void listen() {
        mResponse.subscribe(this, mLoop);
    }

    /** Asks for the next piece of the body. */
    void more() {
        if (!mClosed && mSubscription != null) {
            mSubscription.request(1);
        }
    }

    /**
     * Ends the exchange and closes its connection.
     *
     * @return how far it had come
     */
    SendOutcome cancel() {
        boolean connected = mContext.log().partial().channel() != null;
        if (!mClosed) {
            mClosed = true;
            mResponse.abort();
        }
        return connected ? SendOutcome.UNKNOWN : SendOutcome.NOT_SENT;
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
            mListener.data(data);
            return;
        }
        boolean interim =
                object instanceof ResponseHeaders head
                        && head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        if (object instanceof ResponseHeaders head && !interim && !mHeadSeen) {
            mHeadSeen = true;
            mEndsWithConnection = !head.contains(HttpHeaderNames.CONTENT_LENGTH);
            mListener.head(mMessages.response(head));
        }
        // Interim answers and trailers say nothing that is forwarded.
        more();
    }

    @Override
    public void onError(Throwable failure) {
        if (mClosed) {
            return;
        }
        mClosed = true;
        boolean unsent = CallFailure.of(mContext, failure) == CallFailure.NOT_CONNECTED;
        mListener.failed(unsent ? SendOutcome.NOT_SENT : SendOutcome.UNKNOWN, failure);
    }

    @Override
    public void onComplete() {
        if (mClosed) {
            return;
        }
        mClosed = true;
        if (mEndsWithConnection && ResetWatch.broken(mContext)) {
            mListener.failed(SendOutcome.UNKNOWN, ClosedSessionException.get());
        } else {
            mListener.complete();
        }
    }
}
