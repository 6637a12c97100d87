package org.cyclamenpaddle.router.request;

import org.cyclamenpaddle.core.id.BackendId;

/** Told when a backend server could not be reached, or died while it ran a request. */
public interface BackendFailureListener {

    /** Ranks the backend server last for a time. */
    void onUnreachable(BackendId backend, long now);

    /** Gives the request with this fingerprint a strike, and tells peers. */
    void onCrash(BackendId backend, long fingerprint, long now);
}
