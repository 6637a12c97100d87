package org.cyclamenpaddle.router.backend;

import org.cyclamenpaddle.core.id.BackendId;

/** Receives the attempts that owned engines list as running. */
@FunctionalInterface
public interface AttemptsListener {

    /**
     * Called with an engine's own list of attempts.
     *
     * @param engine the engine
     * @param running number of attempts that have not ended
     * @param requestedAtMillis reading of this host's clock when the list was requested
     */
    void onListed(BackendId engine, int running, long requestedAtMillis);
}
