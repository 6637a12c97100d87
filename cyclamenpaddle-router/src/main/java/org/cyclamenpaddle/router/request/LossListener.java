package org.cyclamenpaddle.router.request;

import org.cyclamenpaddle.core.id.BackendId;

/** Told when a backend server could not be reached on a new connection or lost an attempt. */
@FunctionalInterface
public interface LossListener {

    /** Gives strikes and ranks the backend server last; returns after both are done. */
    void backendLost(BackendId backend, long now);
}
