package org.cyclamenpaddle.relay.backend;

import java.util.HashSet;
import java.util.Set;
import org.cyclamenpaddle.core.id.BackendId;

/**
 * Tracks whether this host can reach one failure domain, based on its sends there.
 *
 * <p>Safeguard: when a failure domain is cut off, all its servers become unreachable at once. If
 * each server were detected separately, every request would wait for a failing connection attempt,
 * once per server and again at each probe. Two consecutive unreachable servers, with no response
 * from the domain in between, therefore eject the whole domain; one request per second probes
 * whether it is reachable again. Not thread-safe.
 */
final class DomainConnectivity {

    /**
     * Consecutive unreachable servers that eject their domain; a single one may just have crashed.
     */
    static final int MIN_UNREACHABLE_SERVERS = 2;

    /** Interval between two requests that probe an ejected domain, in milliseconds. */
    static final long PROBE_INTERVAL_MILLIS = 1_000;

    private final Set<BackendId> mUnreachable = new HashSet<>();
    private long mNextProbeMillis;

    /** Returns whether a request may be sent to the domain now. */
    boolean admits(long nowMillis) {
        return !isSuspect() || nowMillis >= mNextProbeMillis;
    }

    /** Records a send to the domain; it is the probe if the domain is ejected. */
    void recordSend(long nowMillis) {
        if (isSuspect()) {
            mNextProbeMillis = nowMillis + PROBE_INTERVAL_MILLIS;
        }
    }

    /** Records the outcome of a send. */
    void recordOutcome(BackendId backend, SendOutcome outcome, long nowMillis) {
        if (outcome == SendOutcome.NOT_SENT) {
            mUnreachable.add(backend);
            mNextProbeMillis = nowMillis + PROBE_INTERVAL_MILLIS;
        } else if (outcome.serverResponded()) {
            mUnreachable.clear();
        }
    }

    /** Records that a server of the domain has responded. */
    void recordResponse() {
        mUnreachable.clear();
    }

    private boolean isSuspect() {
        return mUnreachable.size() >= MIN_UNREACHABLE_SERVERS;
    }
}
