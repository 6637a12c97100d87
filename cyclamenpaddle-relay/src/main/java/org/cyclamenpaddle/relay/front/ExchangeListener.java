package org.cyclamenpaddle.relay.front;

import com.linecorp.armeria.common.HttpData;
import org.cyclamenpaddle.relay.backend.SendOutcome;
import org.cyclamenpaddle.relay.wire.BackendResponse;

/** Told how an exchange with a backend server goes, on the event loop that it was opened on. */
interface ExchangeListener {

    /** Called with the head of the answer. */
    void head(BackendResponse answer);

    /** Called with a piece of the body; the next one comes after {@link BackendExchange#more}. */
    void data(HttpData data);

    /** Called once when the answer ended as its framing promised. */
    void complete();

    /**
     * Called once when no whole answer will come.
     *
     * @param outcome {@link SendOutcome#NOT_SENT} or {@link SendOutcome#UNKNOWN}
     * @param cause why, for logs
     */
    void failed(SendOutcome outcome, Throwable cause);
}
