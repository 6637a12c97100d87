package org.cyclamenpaddle.routing.retry;

import org.cyclamenpaddle.core.outcome.RefusalReason;

/** Whether a failed attempt is followed by another one. */
public sealed interface RetryDecision {

    /**
     * Try again.
     *
     * @param inMillis how long to wait before
     */
    record Retry(long inMillis) implements RetryDecision {}

    /**
     * Do not try again.
     *
     * @param reason why
     */
    record GiveUp(RefusalReason reason) implements RetryDecision {}
}
