package org.cyclamenpaddle.routing.retry;

import java.util.HashMap;
import java.util.Map;
import org.cyclamenpaddle.core.id.ServiceName;

/**
 * Limits retries to a share of the new requests of each service.
 *
 * <p>Safeguard: when backend servers fail under load, unlimited retries multiply the load and
 * prevent recovery. With a share of one tenth the load grows by a tenth at most. A small refill
 * rate that does not depend on new requests allows an idle service to retry at all. Not
 * thread-safe.
 */
public final class RetryBudget {

    /**
     * Settings of a retry budget.
     *
     * @param share retries earned by one new request, from 0 to 1
     * @param minPerSecond retries earned per second without any request
     * @param capacity maximum number of accumulated retries
     */
    public record Settings(double share, double minPerSecond, double capacity) {

        /** One tenth of new requests, one more every two seconds, a capacity of twenty. */
        public static final Settings DEFAULTS = new Settings(0.1, 0.5, 20);

        public Settings {
            if (share < 0 || share > 1 || minPerSecond < 0 || capacity < 1) {
                throw new IllegalArgumentException(
                        "retry budget out of range: share "
                                + share
                                + ", minimum "
                                + minPerSecond
                                + " per second, capacity "
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
     * @param settings share, refill rate and capacity
     */
    public RetryBudget(Settings settings) {
        mSettings = settings;
    }

    /**
     * Changes share, refill rate and capacity; the accumulated retries are kept up to the new
     * capacity.
     *
     * @param settings settings from now on
     */
    public void adjust(Settings settings) {
        mSettings = settings;
    }

    /**
     * Counts a new request, which earns a share of a retry.
     *
     * @param service its service
     * @param nowMillis current clock reading
     */
    public void recordRequest(ServiceName service, long nowMillis) {
        refill(service, mSettings.share(), nowMillis);
    }

    /**
     * Takes one retry from the budget and returns whether one was available.
     *
     * @param service its service
     * @param nowMillis current clock reading
     */
    public boolean tryAcquire(ServiceName service, long nowMillis) {
        double left = refill(service, 0, nowMillis);
        if (left < 1) {
            return false;
        }
        mBalances.put(service, new Balance(left - 1, nowMillis));
        return true;
    }

    /** Returns a retry that was acquired and not used, up to the capacity. */
    public void putBack(ServiceName service, long nowMillis) {
        refill(service, 1, nowMillis);
    }

    /** Returns the accumulated retries of a service. */
    public double remaining(ServiceName service, long nowMillis) {
        return refill(service, 0, nowMillis);
    }

    private double refill(ServiceName service, double retries, long nowMillis) {
        Balance old = mBalances.getOrDefault(service, new Balance(mSettings.capacity(), nowMillis));
        double passed = Math.max(0, nowMillis - old.atMillis()) / MILLIS_PER_SECOND;
        double refilled = passed * mSettings.minPerSecond();
        double sum = Math.min(mSettings.capacity(), old.retries() + retries + refilled);
        mBalances.put(service, new Balance(sum, nowMillis));
        return sum;
    }
}
