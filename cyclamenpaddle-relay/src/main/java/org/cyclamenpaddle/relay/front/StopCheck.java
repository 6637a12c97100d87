package org.cyclamenpaddle.relay.front;

import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.ResponseHeaders;
import org.cyclamenpaddle.relay.route.Route;

/**
 * Decides whether a planned stop leaves a request the time that it may need.
 *
 * <p>Safeguard: a body, a quota, a hold or a search for a place can take seconds, so the decision
 * made when the head arrived is made again before a request is passed on.
 */
final class StopCheck {

    static final String REASON = "host is stopping";

    private final DrainState mDrainState;
    private final RetryAfter mRetryAfter;

    StopCheck(DrainState drainState, RetryAfter retryAfter) {
        mDrainState = drainState;
        mRetryAfter = retryAfter;
    }

    /**
     * Returns whether a request may be passed on now.
     *
     * @param remainingMillis time after which it has ended in any case, in milliseconds
     */
    boolean accepts(Route route, long remainingMillis) {
        return mDrainState.accepts(route.kind().streams(), route.repeatable(), remainingMillis);
    }

    /** Returns the response to a request that is not passed on. */
    ResponseHeaders refusal() {
        return mRetryAfter.retryLater(HttpStatus.SERVICE_UNAVAILABLE.code());
    }
}
