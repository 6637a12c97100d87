package org.cyclamenpaddle.routing.request;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.cyclamenpaddle.core.id.AttemptId;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.message.GrantRequest;
import org.cyclamenpaddle.core.outcome.Refusal;
import org.cyclamenpaddle.core.outcome.RetryReason;

/** What the state machine of a request asks of the blackboard while it decides. */
public interface RequestEnvironment {

    /** Returns an attempt id never used before. */
    AttemptId newAttempt();

    /** Returns whether owners are asked for grants; baselines go without. */
    boolean usesGrants();

    /** Returns why the request is refused on arrival, or empty if it may be placed. */
    Optional<Refusal> admit(RequestShape shape, long now);

    /**
     * Ranks prefill servers, best first.
     *
     * @param generated tokens already sent to the caller, which are prefilled too
     * @param excluded servers that failed this request
     * @return at least one choice, or why there is none
     */
    Either<Refusal, List<Choice>> rankPrefill(
            RequestShape shape, int generated, Set<BackendId> excluded, long now);

    /**
     * Ranks decode servers, best first.
     *
     * @param prefill where the prefill runs
     * @param neededInMillis when the KV cache is predicted to arrive
     * @param excluded servers that failed this request
     * @return at least one choice, or why there is none
     */
    Either<Refusal, List<Choice>> rankDecode(
            RequestShape shape,
            BackendId prefill,
            long neededInMillis,
            Set<BackendId> excluded,
            long now);

    /**
     * Words the ask for a prefill server.
     *
     * @param generated tokens already sent to the caller
     * @param millisLeft until the first token, or the next one, is due
     */
    GrantRequest prefillGrantRequest(
            AttemptId attempt, RequestShape shape, int generated, Choice choice, long millisLeft);

    /**
     * Words the ask for a decode server.
     *
     * @param generated tokens already sent to the caller
     * @param prefill where the prefill runs
     * @param prefillEndInMillis when prefill and transfer are expected to have ended
     * @param millisLeft until the first token, or the next one, is due
     */
    GrantRequest decodeGrantRequest(
            AttemptId attempt,
            RequestShape shape,
            int generated,
            Choice choice,
            BackendId prefill,
            long prefillEndInMillis,
            long millisLeft);

    /** Takes one retry from the service's budget; returns whether there was one. */
    boolean tryAcquireRetry(RequestShape shape, RetryReason reason, long now);

    /** Notes that no new connection to a backend server could be had; it is ranked last. */
    void backendUnreachable(BackendId backend, long now);

    /**
     * Notes that a backend server died, or lost its state, while it ran this request.
     *
     * <p>The request's strike is given before this returns, so that the next ranking already sees
     * it.
     */
    void backendCrashed(RequestShape shape, BackendId backend, long now);
}
