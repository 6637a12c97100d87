package org.cyclamenpaddle.fleet.order;

/**
 * Limits how many engines may load weights concurrently, so that each load completes within the
 * timeout of its order.
 *
 * @param storeBytesPerSecond bandwidth of the weight store, shared by all loads
 * @param loadBytesPerSecond bandwidth that one load needs to complete in time
 */
public record WeightLoadBudget(long storeBytesPerSecond, long loadBytesPerSecond) {

    /** Key of the slots in the platform. */
    public static final String PATH = "status/weight-loads";

    public WeightLoadBudget {
        if (storeBytesPerSecond <= 0 || loadBytesPerSecond <= 0) {
            throw new IllegalArgumentException(
                    "rates must be above 0: " + storeBytesPerSecond + ", " + loadBytesPerSecond);
        }
    }

    /** Returns the limit for {@link SharedSlots#acquire}, at least 1. */
    public int limit() {
        return (int) Math.max(1, Math.min(Integer.MAX_VALUE, ratio()));
    }

    private long ratio() {
        return storeBytesPerSecond / loadBytesPerSecond;
    }
}
