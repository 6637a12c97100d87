package org.cyclamenpaddle.relay.front;

import com.linecorp.armeria.common.HttpData;
import org.cyclamenpaddle.engine.http.ResponseEnd;
import org.cyclamenpaddle.relay.backend.SendOutcome;
import org.cyclamenpaddle.relay.wire.BackendResponse;

/** Receives the events of an exchange with a backend server, on the event loop of the exchange. */
interface ExchangeListener {

    /** Called with the head of the response. */
    void head(BackendResponse response);

    /** Called with a part of the body; the next one follows {@link BackendExchange#requestMore}. */
    void data(HttpData data);

    /**
     * Called once when the response is complete according to its framing.
     *
     * @param end how it ended
     */
    void complete(ResponseEnd end);

    /**
     * Called once when the response will not be completed.
     *
     * @param outcome {@link SendOutcome#NOT_SENT}, {@link SendOutcome#WITHHELD} or {@link
     *     SendOutcome#UNKNOWN}
     * @param cause failure, for logs
     */
    void failed(SendOutcome outcome, Throwable cause);
}
