package org.cyclamenpaddle.routing.limit;

/**
 * Limit on the use of a shared resource over all hosts, as a token bucket.
 *
 * @param unitsPerSecond rate at which units become available, above 0
 * @param burstUnits units that can accumulate, 0 or more
 */
public record QuotaLimit(double unitsPerSecond, double burstUnits) {

    public QuotaLimit {
        if (!(unitsPerSecond > 0) || !(burstUnits >= 0) || Double.isInfinite(unitsPerSecond)) {
            throw new IllegalArgumentException(
                    "quota needs a rate above 0 and a burst of 0 or more, got "
                            + unitsPerSecond
                            + " per second and "
                            + burstUnits);
        }
    }
}
