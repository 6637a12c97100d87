package org.cyclamenpaddle.fleet.order;

import org.cyclamenpaddle.core.id.ServiceName;

/**
 * Limits how many backend servers of one service may be drained for a change at the same time.
 *
 * <p>Their owners are distributed over many hosts, so the count is stored in the platform, as
 * {@link SharedSlots} of the service. Without the limit a new preset would drain all backend
 * servers of a service at once.
 *
 * @param percent share of the service's backend servers, 1 to 100
 */
public record RolloutBudget(int percent) {

    private static final int HUNDRED = 100;

    public RolloutBudget {
        if (percent < 1 || percent > HUNDRED) {
            throw new IllegalArgumentException("percent " + percent + " must be 1 to 100");
        }
    }

    /** Returns the key of a service's slots in the platform. */
    public String path(ServiceName service) {
        return "status/rollout/" + service;
    }

    /**
     * Returns the limit for {@link SharedSlots#acquire}, at least 1.
     *
     * @param backends how many backend servers serve the service
     */
    public int limit(int backends) {
        return Math.max(1, backends * percent / HUNDRED);
    }
}
