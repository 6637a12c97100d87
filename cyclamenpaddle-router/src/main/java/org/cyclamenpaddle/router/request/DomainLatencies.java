package org.cyclamenpaddle.router.request;

import org.cyclamenpaddle.core.id.FailureDomain;

/** Provides the one-way network latency between failure domains. */
@FunctionalInterface
public interface DomainLatencies {

    /** Returns the one-way latency in milliseconds. */
    long oneWayMillis(FailureDomain from, FailureDomain to);
}
