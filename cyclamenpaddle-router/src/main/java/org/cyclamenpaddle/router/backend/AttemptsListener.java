package org.cyclamenpaddle.router.backend;

import org.cyclamenpaddle.core.id.BackendId;

/** Hears what owned engines list as running. */
@FunctionalInterface
public interface AttemptsListener {

    /**
     * Takes in an engine's own list.
     *
     * @param engine the engine
     * @param running attempts that have not ended
     * @param askedAtMillis reading of this host's clock when the list was asked for
     */
    void onListed(BackendId engine, int running, long askedAtMillis);
}
