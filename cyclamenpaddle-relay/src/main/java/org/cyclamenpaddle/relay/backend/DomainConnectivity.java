package org.cyclamenpaddle.relay.backend;

import java.util.HashSet;
import java.util.Set;
import org.cyclamenpaddle.core.id.BackendId;

/**
 * Whether this host can reach one failure domain, learned from its sends there.
 *
 * <p>Safeguard: a failure domain that is cut off takes all its servers at once. Found out one
 * server at a time, every request would wait for a connection that never comes, once for each
 * server and again at each of their trials. Two servers out of reach in a row, with no answer from
 * there in between, count for the whole domain; one request a second finds out when it is back. Not
 * thread-safe.
 */
final class DomainConnectivity {

    /**
     * Servers out of reach in a row that count for their whole domain; one may just have crashed.
     */
    static final int SERVERS = 2;

    /** Pause between two requests that try a domain again, in milliseconds. */
    static final long TRIAL_MILLIS = 1_000;

    private final Set<BackendId> mOutOfReach = new HashSet<>();
    private long mNextTrialMillis;

    /** Returns whether work may go there now. */
    boolean admits(long nowMillis) {
        return !isSuspect() || nowMillis >= mNextTrialMillis;
    }

    /** Notes that work goes there, which is the trial if the domain is suspect. */
    void sent(long nowMillis) {
        if (isSuspect()) {
            mNextTrialMillis = nowMillis + TRIAL_MILLIS;
        }
    }

    /** Notes the outcome of a send. */
    void ended(BackendId backend, SendOutcome outcome, long nowMillis) {
        if (outcome == SendOutcome.NOT_SENT) {
            mOutOfReach.add(backend);
            mNextTrialMillis = nowMillis + TRIAL_MILLIS;
        } else if (outcome.serverResponded()) {
            mOutOfReach.clear();
        }
    }

    /** Notes that a server there has answered something. */
    void answered() {
        mOutOfReach.clear();
    }

    private boolean isSuspect() {
        return mOutOfReach.size() >= SERVERS;
    }
}
