package org.cyclamenpaddle.router.request;

import org.cyclamenpaddle.engine.model.EngineFailure;
import org.cyclamenpaddle.routing.request.StepFailure;

/** Maps failures of the engine client to the failure kinds of the request state machine. */
final class EngineFailures {

    private EngineFailures() {}

    /** Maps a failure that the engine itself reported. */
    static StepFailure fromEngine(EngineFailure failure) {
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
        return fromConnection(failure);
    }

    /**
     * Maps a failure of the connection to the engine.
     *
     * <p>Each call has its own connection, so a connection that was never established means that
     * the engine is unreachable; one that broke later is no evidence about the engine.
     */
    static StepFailure fromConnection(EngineFailure failure) {
        if (failure instanceof EngineFailure.Unreachable unreachable) {
            return unreachable.connected() ? StepFailure.BROKEN : StepFailure.UNREACHABLE;
        }
        if (failure instanceof EngineFailure.Truncated) {
            return StepFailure.BROKEN;
        }
        return failure instanceof EngineFailure.TimedOut
                ? StepFailure.TIMED_OUT
                : StepFailure.PROTOCOL;
    }
}
