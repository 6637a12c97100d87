package org.cyclamenpaddle.router.request;

import org.cyclamenpaddle.core.outcome.Refusal;

/** Receives the response to a model request. Methods are called by one thread at a time. */
public interface ResponseSink {

    /** Receives the next token. */
    void token(int index, String text);

    /** Completes the response successfully. */
    void finished(int tokens, String finishReason);

    /**
     * Ends the response with a refusal; the first {@code tokensSent} tokens have been sent to the
     * caller.
     */
    void refused(Refusal refusal, int tokensSent);
}
