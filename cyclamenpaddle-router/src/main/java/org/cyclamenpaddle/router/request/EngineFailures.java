package org.cyclamenpaddle.router.request;

import org.cyclamenpaddle.engine.model.EngineFailure;
import org.cyclamenpaddle.routing.request.StepFailure;

/** Translates what the engine's client says into what the state machine decides by. */
final class EngineFailures {

    private EngineFailures() {}

    /** Returns the meaning of a failure that the engine itself reported. */
    static StepFailure step(EngineFailure failure) {
        if (failure instanceof EngineFailure.Full) {
            return StepFailure.FULL;
        }
        if (failure instanceof EngineFailure.Evicted) {
            return StepFailure.EVICTED;
        }
        if (failure instanceof EngineFailure.TransferStalled) {
            return StepFailure.STALLED;
        }
        if (failure instanceof EngineFailure.UnknownAttempt
                || failure instanceof EngineFailure.Cancelled) {
            return StepFailure.UNKNOWN_ATTEMPT;
        }
        return broken(failure);
    }

    /**
     * Returns the meaning of a failure of the connection.
     *
     * <p>Each call has a connection of its own, so one that was never opened means that the engine
     * can't be reached; one that broke later says nothing about the engine.
     */
    static StepFailure broken(EngineFailure failure) {
        if (failure instanceof EngineFailure.Unreachable unreachable) {
            return unreachable.connected() ? StepFailure.BROKEN : StepFailure.UNREACHABLE;
        }
        return failure instanceof EngineFailure.TimedOut
                ? StepFailure.TIMED_OUT
                : StepFailure.PROTOCOL;
    }
}
