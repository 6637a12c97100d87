package org.cyclamenpaddle.core.outcome;

import static org.cyclamenpaddle.core.outcome.RunOutcome.NOT_RUN;
import static org.cyclamenpaddle.core.outcome.RunOutcome.RAN;
import static org.cyclamenpaddle.core.outcome.RunOutcome.UNKNOWN;

import java.util.Locale;

/**
 * Every reason for which a request is refused or ends without its answer.
 *
 * <p>The same constant names the HTTP problem, the counter and the log field.
 */
public enum RefusalReason {
    BAD_BODY(400, NOT_RUN, false, "The body is not what this path takes."),
    BODY_TOO_LONG(413, NOT_RUN, false, "The body is longer than the limit."),
    BAD_IDEMPOTENCY_KEY(400, NOT_RUN, false, "The Idempotency-Key is missing or malformed."),
    KEY_REUSED(422, NOT_RUN, false, "The Idempotency-Key stands for a different request."),
    UNKNOWN_SERVICE(404, NOT_RUN, false, "The preset in force has no such service."),
    UNKNOWN_CALL(404, NOT_RUN, false, "The service declares no such call."),
    NO_CONFIGURATION(503, NOT_RUN, true, "This host has no preset in force yet."),
    STOPPING(503, NOT_RUN, true, "This host is leaving."),
    NO_BACKEND(503, NOT_RUN, true, "No backend server of the service can be reached."),
    PROMPT_TOO_LONG(413, NOT_RUN, false, "The prompt needs more memory than any engine has."),
    DEADLINE_UNREACHABLE(
            503, NOT_RUN, true, "The first token cannot come in time; nothing was started."),
    QUEUE_FULL(503, NOT_RUN, true, "The queue of the service is full."),
    TEAM_LIMIT(429, NOT_RUN, true, "The team has more requests waiting than its share."),
    RETRY_BUDGET_EMPTY(503, UNKNOWN, true, "An attempt failed and no retry is left."),
    QUARANTINED(422, NOT_RUN, true, "Requests like this one crashed backend servers."),
    PLATFORM_AWAY(503, NOT_RUN, true, "No claim could be had for the key."),
    CLAIM_UNREADABLE(503, UNKNOWN, true, "No claim could be had, and the key may be in use."),
    CLAIM_BUSY(409, UNKNOWN, true, "The key is claimed and its answer is not known yet."),
    BACKEND_FAILED(502, UNKNOWN, true, "The backend server failed during the call."),
    DEADLINE_PASSED(504, UNKNOWN, true, "The answer did not come in time."),
    CALLER_GONE(499, UNKNOWN, false, "The caller left before the answer."),
    UNKNOWN_OBJECT(404, NOT_RUN, false, "There is no such object or request."),
    CONFLICT(409, NOT_RUN, false, "Another change came first."),
    BAD_CONFIGURATION(422, NOT_RUN, false, "The configuration object fails its checks."),
    CHANGE_UNKNOWN(503, UNKNOWN, true, "The platform did not say whether the change was made."),
    ANSWER_EXPIRED(410, RAN, false, "The call ran, but its answer is no longer kept.");

    private final int mStatus;
    private final RunOutcome mOutcome;
    private final boolean mWaitingHelps;
    private final String mTitle;

    RefusalReason(int status, RunOutcome outcome, boolean waitingHelps, String title) {
        mStatus = status;
        mOutcome = outcome;
        mWaitingHelps = waitingHelps;
        mTitle = title;
    }

    /** Returns the wire form: lower case with dashes, also the counter's {@code reason} tag. */
    public String code() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Returns the HTTP status that carries this reason. */
    public int status() {
        return mStatus;
    }

    /** Returns the outcome said to the caller. */
    public RunOutcome outcome() {
        return mOutcome;
    }

    /** Returns whether the answer carries {@code Retry-After}. */
    public boolean retryable() {
        return mWaitingHelps;
    }

    /** Returns one sentence for people. */
    public String title() {
        return mTitle;
    }
}
