package org.cyclamenpaddle.router.request;

import org.cyclamenpaddle.core.id.FailureDomain;

/** Tells the one-way time between failure domains. */
@FunctionalInterface
public interface DomainLatencies {

    /** Returns the time in milliseconds. */
    long oneWayMillis(FailureDomain from, FailureDomain to);
}
