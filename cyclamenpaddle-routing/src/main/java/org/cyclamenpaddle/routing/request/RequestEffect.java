package org.cyclamenpaddle.routing.request;

import java.util.List;
import org.cyclamenpaddle.core.id.AttemptId;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.message.GrantRequest;
import org.cyclamenpaddle.core.outcome.Refusal;
import org.cyclamenpaddle.core.outcome.RetryReason;

/** Something that the state machine of a request wants done. */
public sealed interface RequestEffect {

    /** Calls the handler's method for this type of effect. */
    void perform(RequestEffectHandler handler);

    /**
     * Asks an owner for room.
     *
     * @param ask the ask
     */
    record RequestGrant(GrantRequest request) implements RequestEffect {
        @Override
        public void perform(RequestEffectHandler handler) {
            handler.requestGrant(this);
        }
    }

    /**
     * Gives room back.
     *
     * @param attempt whose room
     * @param backend where
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
     * @param timeoutMillis longest wait
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
     * @param firstIndex index of the first token to come
     * @param maxTokens most tokens of the whole answer, counted from index 0
     * @param transferMillis longest transfer
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
     * Takes a stream up again by a new connection.
     *
     * @param attempt the decode attempt
     * @param backend the decode server
     * @param fromIndex next token wanted
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
     * @param backend where
     */
    record Cancel(AttemptId attempt, BackendId backend) implements RequestEffect {
        @Override
        public void perform(RequestEffectHandler handler) {
            handler.cancel(this);
        }
    }

    /**
     * Sends one token.
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
     * Ends the answer as whole.
     *
     * @param tokens tokens sent
     * @param finishReason the engine's reason
     */
    record Finish(int tokens, String finishReason) implements RequestEffect {
        @Override
        public void perform(RequestEffectHandler handler) {
            handler.finish(this);
        }
    }

    /**
     * Ends the answer with a refusal.
     *
     * @param refusal why
     * @param tokensSent tokens that the caller already has
     */
    record Refuse(Refusal refusal, int tokensSent) implements RequestEffect {
        @Override
        public void perform(RequestEffectHandler handler) {
            handler.refuse(this);
        }
    }

    /**
     * Sets a deadline; only the timer of the current generation counts when it fires.
     *
     * @param kind which deadline
     * @param generation handed back when it fires
     * @param delayMillis from now
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
     * @param reason why it was made
     */
    record CountRetry(RetryReason reason) implements RequestEffect {
        @Override
        public void perform(RequestEffectHandler handler) {
            handler.countRetry(this);
        }
    }

    /**
     * Counts prefill that was computed and never used.
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
