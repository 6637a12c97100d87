package org.cyclamenpaddle.router.operator;

/** Provides the status of the fleet as seen by this host. */
@FunctionalInterface
public interface StatusSource {

    /** Returns the current status, from in-memory tables. */
    StatusReport report();
}
