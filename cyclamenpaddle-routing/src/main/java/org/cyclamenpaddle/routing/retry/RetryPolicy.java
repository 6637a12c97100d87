package org.cyclamenpaddle.routing.retry;

import org.apache.commons.rng.UniformRandomProvider;
import org.cyclamenpaddle.core.outcome.RefusalReason;

/** Decides on retries: within the budget, after a backoff, and never past the deadline. */
public final class RetryPolicy {

    private final RetryBudget mBudget;
    private final Backoff mBackoff;

    /**
     * Creates the decision.
     *
     * @param budget shared by all requests of this host
     * @param backoff waits between attempts
     */
    public RetryPolicy(RetryBudget budget, Backoff backoff) {
        mBudget = budget;
        mBackoff = backoff;
    }

    /**
     * Decides whether to try again; takes a retry out of the budget only if so.
     *
     * @param failed what is known of the failure
     * @param nowMillis reading of the clock
     * @param random source of random numbers
     */
    public RetryDecision afterFailure(
            FailedAttempt failed, long nowMillis, UniformRandomProvider random) {
        long wait =
                Math.max(failed.retryAfterMillis(), mBackoff.waitMillis(failed.failures(), random));
        if (wait + failed.neededMillis() > failed.millisLeft()) {
            return new RetryDecision.GiveUp(RefusalReason.DEADLINE_PASSED);
        }
        if (!mBudget.tryTake(failed.service(), nowMillis)) {
            return new RetryDecision.GiveUp(RefusalReason.RETRY_BUDGET_EMPTY);
        }
        return new RetryDecision.Retry(wait);
    }
}
