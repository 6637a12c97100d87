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

/** Access of a request's state machine to the shared state of its host. */
public interface RequestEnvironment {

    /** Returns a new, unique attempt id. */
    AttemptId newAttempt();

    /** Returns whether grants are requested from owners; baseline policies do not use them. */
    boolean usesGrants();

    /** Returns the refusal of a request on arrival, or empty if it may be placed. */
    Optional<Refusal> admit(RequestShape shape, long now);

    /**
     * Ranks prefill servers, best first.
     *
     * @param generated number of tokens already sent to the caller, which are prefilled as well
     * @param excluded servers that failed this request
     * @return at least one choice, or the refusal
     */
    Either<Refusal, List<Choice>> rankPrefill(
            RequestShape shape, int generated, Set<BackendId> excluded, long now);

    /**
     * Ranks decode servers, best first.
     *
     * @param prefill prefill server of the request
     * @param neededInMillis predicted time until the KV cache arrives
     * @param excluded servers that failed this request
     * @return at least one choice, or the refusal
     */
    Either<Refusal, List<Choice>> rankDecode(
            RequestShape shape,
            BackendId prefill,
            long neededInMillis,
            Set<BackendId> excluded,
            long now);

    /**
     * Creates the grant request for a prefill server.
     *
     * @param generated number of tokens already sent to the caller
     * @param millisLeft time until the first token, or the next one, is due
     */
    GrantRequest prefillGrantRequest(
            AttemptId attempt, RequestShape shape, int generated, Choice choice, long millisLeft);

    /**
     * Creates the grant request for a decode server.
     *
     * @param generated number of tokens already sent to the caller
     * @param prefill prefill server of the request
     * @param prefillEndInMillis expected time until prefill and transfer end
     * @param millisLeft time until the first token, or the next one, is due
     */
    GrantRequest decodeGrantRequest(
            AttemptId attempt,
            RequestShape shape,
            int generated,
            Choice choice,
            BackendId prefill,
            long prefillEndInMillis,
            long millisLeft);

    /** Takes one retry from the service's budget and returns whether one was available. */
    boolean tryAcquireRetry(RequestShape shape, RetryReason reason, long now);

    /**
     * Records that no new connection to a backend server could be opened; it is then ranked last.
     */
    void backendUnreachable(BackendId backend, long now);

    /**
     * Records that a backend server crashed, or lost its state, while it ran this request.
     *
     * <p>The request's strike is recorded before this method returns, so that the next ranking
     * takes it into account.
     */
    void backendCrashed(RequestShape shape, BackendId backend, long now);
}
