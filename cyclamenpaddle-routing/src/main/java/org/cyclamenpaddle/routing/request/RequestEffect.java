package org.cyclamenpaddle.routing.request;

import java.util.List;
import org.cyclamenpaddle.core.id.AttemptId;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.message.GrantRequest;
import org.cyclamenpaddle.core.outcome.Refusal;
import org.cyclamenpaddle.core.outcome.RetryReason;

/** An action requested by the state machine of a request. */
public sealed interface RequestEffect {

    /** Calls the handler's method for this type of effect. */
    void perform(RequestEffectHandler handler);

    /**
     * Requests a grant from a ledger's owner.
     *
     * @param request the grant request
     */
    record RequestGrant(GrantRequest request) implements RequestEffect {
        @Override
        public void perform(RequestEffectHandler handler) {
            handler.requestGrant(this);
        }
    }

    /**
     * Releases a grant.
     *
     * @param attempt holder of the grant
     * @param backend backend server of the grant
     */
    record ReleaseGrant(AttemptId attempt, BackendId backend) implements RequestEffect {
        @Override
        public void perform(RequestEffectHandler handler) {
            handler.releaseGrant(this);
        }
    }

    /**
     * Starts a prefill of the prompt and of the tokens already sent.
     *
     * @param attempt the attempt
     * @param backend the prefill server
     * @param prior tokens already sent to the caller
     * @param timeoutMillis timeout of the prefill
     */
    record StartPrefill(
            AttemptId attempt, BackendId backend, List<String> prior, long timeoutMillis)
            implements RequestEffect {
        @Override
        public void perform(RequestEffectHandler handler) {
            handler.startPrefill(this);
        }
    }

    /**
     * Starts the transfer of a prefill result and the decode from it.
     *
     * @param attempt the decode attempt
     * @param backend the decode server
     * @param source the prefill attempt
     * @param sourceBackend the prefill server
     * @param firstIndex index of the first token to generate
     * @param maxTokens maximum number of tokens of the complete response, counted from index 0
     * @param transferMillis timeout of the transfer
     */
    record StartDecode(
            AttemptId attempt,
            BackendId backend,
            AttemptId source,
            BackendId sourceBackend,
            int firstIndex,
            int maxTokens,
            long transferMillis)
            implements RequestEffect {
        @Override
        public void perform(RequestEffectHandler handler) {
            handler.startDecode(this);
        }
    }

    /**
     * Resumes a stream on a new connection.
     *
     * @param attempt the decode attempt
     * @param backend the decode server
     * @param fromIndex index of the next token needed
     */
    record Resume(AttemptId attempt, BackendId backend, int fromIndex) implements RequestEffect {
        @Override
        public void perform(RequestEffectHandler handler) {
            handler.resume(this);
        }
    }

    /**
     * Cancels an attempt.
     *
     * @param attempt the attempt
     * @param backend backend server of the attempt
     */
    record Cancel(AttemptId attempt, BackendId backend) implements RequestEffect {
        @Override
        public void perform(RequestEffectHandler handler) {
            handler.cancel(this);
        }
    }

    /**
     * Sends one token to the caller.
     *
     * @param index its index
     * @param text its text
     */
    record Emit(int index, String text) implements RequestEffect {
        @Override
        public void perform(RequestEffectHandler handler) {
            handler.emit(this);
        }
    }

    /**
     * Completes the response.
     *
     * @param tokens number of tokens sent
     * @param finishReason finish reason given by the engine
     */
    record Finish(int tokens, String finishReason) implements RequestEffect {
        @Override
        public void perform(RequestEffectHandler handler) {
            handler.finish(this);
        }
    }

    /**
     * Ends the response with a refusal.
     *
     * @param refusal the refusal
     * @param tokensSent number of tokens that the caller has already received
     */
    record Refuse(Refusal refusal, int tokensSent) implements RequestEffect {
        @Override
        public void perform(RequestEffectHandler handler) {
            handler.refuse(this);
        }
    }

    /**
     * Sets a timer; on expiry it is ignored unless its generation is still current.
     *
     * @param kind kind of the timer
     * @param generation passed back on expiry
     * @param delayMillis delay from now
     */
    record SetTimer(TimerKind kind, long generation, long delayMillis) implements RequestEffect {
        @Override
        public void perform(RequestEffectHandler handler) {
            handler.setTimer(this);
        }
    }

    /**
     * Counts a retry.
     *
     * @param reason its reason
     */
    record CountRetry(RetryReason reason) implements RequestEffect {
        @Override
        public void perform(RequestEffectHandler handler) {
            handler.countRetry(this);
        }
    }

    /**
     * Counts wasted prefill: tokens that were computed and never used.
     *
     * @param tokens uncached tokens computed
     */
    record CountWastedPrefill(int tokens) implements RequestEffect {
        @Override
        public void perform(RequestEffectHandler handler) {
            handler.countWastedPrefill(this);
        }
    }
}
