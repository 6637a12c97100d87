package org.cyclamenpaddle.router.operator;

/** Source of the status of the fleet as this host sees it. */
@FunctionalInterface
public interface StatusSource {

    /** Returns the status now, from tables in memory. */
    StatusReport report();
}
