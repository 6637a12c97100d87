package org.cyclamenpaddle.routing.retry;

import java.util.HashMap;
import java.util.Map;
import org.cyclamenpaddle.core.id.ServiceName;

/**
 * Bounds retries to a share of the fresh requests of each service.
 *
 * <p>Safeguard: when backend servers fail under load, retries without bound multiply the load and
 * keep them down. With a share of a tenth the load grows by a tenth at most. A small flow that does
 * not depend on fresh requests lets a quiet service retry at all. Not thread-safe.
 */
public final class RetryBudget {

    /**
     * Settings of a retry budget.
     *
     * @param share retries earned by one fresh request, from 0 to 1
     * @param floorPerSecond retries earned each second without any request
     * @param most retries that can be saved up
     */
    public record Settings(double share, double minPerSecond, double capacity) {

        /** A tenth of fresh requests, one in two seconds besides, twenty saved up. */
        public static final Settings DEFAULTS = new Settings(0.1, 0.5, 20);

        public Settings {
            if (share < 0 || share > 1 || minPerSecond < 0 || capacity < 1) {
                throw new IllegalArgumentException(
                        "retry budget out of range: share "
                                + share
                                + ", floor "
                                + minPerSecond
                                + " a second, most "
                                + capacity);
            }
        }
    }

    private record Balance(double retries, long atMillis) {}

    private static final double MILLIS_PER_SECOND = 1_000;

    private Settings mSettings;
    private final Map<ServiceName, Balance> mBalances = new HashMap<>();

    /**
     * Creates a budget that is full for every service.
     *
     * @param settings share, floor and bound
     */
    public RetryBudget(Settings settings) {
        mSettings = settings;
    }

    /**
     * Changes share, floor and bound; what is saved up is kept up to the new bound.
     *
     * @param settings from now on
     */
    public void adjust(Settings settings) {
        mSettings = settings;
    }

    /**
     * Counts a fresh request, which earns a share of a retry.
     *
     * @param service its service
     * @param nowMillis reading of the clock
     */
    public void recordRequest(ServiceName service, long nowMillis) {
        earn(service, mSettings.share(), nowMillis);
    }

    /**
     * Takes one retry out of the budget and returns whether there was one.
     *
     * @param service its service
     * @param nowMillis reading of the clock
     */
    public boolean tryAcquire(ServiceName service, long nowMillis) {
        double left = earn(service, 0, nowMillis);
        if (left < 1) {
            return false;
        }
        mBalances.put(service, new Balance(left - 1, nowMillis));
        return true;
    }

    /** Returns the retries left for a service. */
    public double remaining(ServiceName service, long nowMillis) {
        return earn(service, 0, nowMillis);
    }

    private double earn(ServiceName service, double retries, long nowMillis) {
        Balance old = mBalances.getOrDefault(service, new Balance(mSettings.capacity(), nowMillis));
        double passed = Math.max(0, nowMillis - old.atMillis()) / MILLIS_PER_SECOND;
        double flow = passed * mSettings.minPerSecond();
        double sum = Math.min(mSettings.capacity(), old.retries() + retries + flow);
        mBalances.put(service, new Balance(sum, nowMillis));
        return sum;
    }
}
