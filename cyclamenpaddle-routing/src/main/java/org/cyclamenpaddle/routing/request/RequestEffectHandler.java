package org.cyclamenpaddle.routing.request;

/** Performs the effects of a request; one method for each type of effect. */
public interface RequestEffectHandler {

    /** Requests a grant from the ledger's owner. */
    void requestGrant(RequestEffect.RequestGrant effect);

    /** Releases a grant at the ledger's owner. */
    void releaseGrant(RequestEffect.ReleaseGrant effect);

    /** Starts a prefill. */
    void startPrefill(RequestEffect.StartPrefill effect);

    /** Starts transfer and decode. */
    void startDecode(RequestEffect.StartDecode effect);

    /** Resumes a stream on a new connection. */
    void resume(RequestEffect.Resume effect);

    /** Cancels an attempt, with retries until the engine confirms. */
    void cancel(RequestEffect.Cancel effect);

    /** Sends one token to the caller. */
    void emit(RequestEffect.Emit effect);

    /** Completes the response. */
    void finish(RequestEffect.Finish effect);

    /** Ends the response with a refusal. */
    void refuse(RequestEffect.Refuse effect);

    /** Sets a timer. */
    void setTimer(RequestEffect.SetTimer effect);

    /** Counts a retry. */
    void countRetry(RequestEffect.CountRetry effect);

    /** Counts wasted prefill. */
    void countWastedPrefill(RequestEffect.CountWastedPrefill effect);
}
