package org.cyclamenpaddle.router.request;

import org.cyclamenpaddle.core.id.FailureDomain;

/** Tells the one-way time between failure domains. */
@FunctionalInterface
public interface DomainDistances {

    /** Returns the time in milliseconds. */
    long millis(FailureDomain from, FailureDomain to);
}
