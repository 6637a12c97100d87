package org.cyclamenpaddle.router.request;

import org.cyclamenpaddle.core.id.BackendId;

/**
 * Receives failures of backend servers: an unreachable server, or a crash while running a request.
 */
public interface BackendFailureListener {

    /** Ranks an unreachable backend server last for some time. */
    void onUnreachable(BackendId backend, long now);

    /** Records a strike against the request with this fingerprint, and notifies peers. */
    void onCrash(BackendId backend, long fingerprint, long now);
}
