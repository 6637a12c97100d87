package org.cyclamenpaddle.routing.request;

/** Performs the effects of a request; one method for each type of effect. */
public interface RequestEffectHandler {

    /** Asks the owner of the ledger. */
    void requestGrant(RequestEffect.RequestGrant effect);

    /** Tells the owner that the room is not needed any more. */
    void releaseGrant(RequestEffect.ReleaseGrant effect);

    /** Starts a prefill. */
    void startPrefill(RequestEffect.StartPrefill effect);

    /** Starts transfer and decode. */
    void startDecode(RequestEffect.StartDecode effect);

    /** Takes a stream up again by a new connection. */
    void resume(RequestEffect.Resume effect);

    /** Cancels an attempt, again and again until the engine confirms. */
    void cancel(RequestEffect.Cancel effect);

    /** Sends one token to the caller. */
    void emit(RequestEffect.Emit effect);

    /** Ends the answer as whole. */
    void finish(RequestEffect.Finish effect);

    /** Ends the answer with a refusal. */
    void refuse(RequestEffect.Refuse effect);

    /** Sets a deadline. */
    void setTimer(RequestEffect.SetTimer effect);

    /** Counts a retry. */
    void countRetry(RequestEffect.CountRetry effect);

    /** Counts prefill that was computed and never used. */
    void countWastedPrefill(RequestEffect.CountWastedPrefill effect);
}
