package org.cyclamenpaddle.relay.team;

import java.util.OptionalLong;
import org.cyclamenpaddle.routing.limit.QuotaLimit;

/**
 * Quota of a team over all hosts.
 *
 * @param limit rate and burst, in units
 * @param unit unit in which requests count
 * @param plainTokens tokens that a request counts as which declares none
 */
public record TeamQuota(QuotaLimit limit, QuotaUnit unit, long plainTokens) {

    public TeamQuota {
        if (limit == null || unit == null || plainTokens < 0) {
            throw new IllegalArgumentException(
                    "quota needs a limit, a unit and plain tokens of 0 or more, got "
                            + plainTokens);
        }
    }

    /**
     * Returns the units that a request counts as.
     *
     * @param declaredTokens prompt tokens and maximum output tokens that the request declares
     */
    public long cost(OptionalLong declaredTokens) {
        return unit.cost(declaredTokens, plainTokens);
    }
}
