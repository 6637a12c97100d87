package org.cyclamenpaddle.router.request;

import org.cyclamenpaddle.core.outcome.Refusal;

/** Where the answer of a model request goes; called by one thread at a time. */
public interface ResponseSink {

    /** Takes the next token. */
    void token(int index, String text);

    /** Ends the answer as whole. */
    void finished(int tokens, String finishReason);

    /** Ends the answer with a refusal; the caller has the first {@code tokensSent} tokens. */
    void refused(Refusal refusal, int tokensSent);
}
