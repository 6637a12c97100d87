package org.cyclamenpaddle.routing.limit;

/** Units of one team's quota that an owner can lend: a token bucket that may go into debt. */
final class QuotaPool {

    /**
     * Burst of a limit without one, in seconds of its rate: requests arrive unevenly even at a
     * constant rate.
     */
    private static final double MIN_BURST_SECONDS = 0.25;

    /** Time constant of the units refused, in milliseconds. */
    private static final double REFUSED_MILLIS = 1_000;

    private static final double MILLIS_PER_SECOND = 1_000;
    private static final long MIN_RETRY_MILLIS = 100;
    private static final long MAX_RETRY_MILLIS = 10_000;

    private final DecayingRate mRefused = new DecayingRate(REFUSED_MILLIS);
    private double mUnits;
    private long mAtMillis;

    /**
     * Creates a pool.
     *
     * @param sinceMillis time from which it fills
     * @param units units that it holds at that time
     */
    QuotaPool(long sinceMillis, double units) {
        mAtMillis = sinceMillis;
        mUnits = units;
    }

    /** Returns the most units that a pool of a limit can hold. */
    static double capacity(QuotaLimit limit) {
        return Math.max(limit.burstUnits(), limit.unitsPerSecond() * MIN_BURST_SECONDS);
    }

    long atMillis() {
        return mAtMillis;
    }

    double units() {
        return mUnits;
    }

    /**
     * Adds units up to the capacity.
     *
     * @param units units that became available since the last call; may be negative
     * @param capacity most units that the pool can hold
     */
    void refill(double units, double capacity, long nowMillis) {
        mUnits = Math.min(capacity, mUnits + units);
        mAtMillis = Math.max(mAtMillis, nowMillis);
    }

    /** Adds units that a host gives back, or removes units that were used without this pool. */
    void correct(double units) {
        mUnits += units;
    }

    /**
     * Lends units to requests that wait.
     *
     * <p>While any units are left the first request gets all that it needs, and the pool goes into
     * debt. Otherwise a large request would find too few units each time, because small ones take
     * them as they become available.
     *
     * @param needed units that all waiting requests need
     * @param first units that the first of them needs
     * @return units lent, from 0 to {@code needed}
     */
    long lend(long needed, long first, long nowMillis) {
        long lent = 0;
        if (mUnits > 0 && needed > 0) {
            lent = Math.min(needed, Math.max(first, (long) mUnits));
        }
        mUnits -= lent;
        mRefused.add(needed - lent, nowMillis);
        return lent;
    }

    /**
     * Lends units for requests to come; only units that the pool has.
     *
     * @param asked units asked for
     * @param most most units to lend
     */
    long lendInAdvance(long asked, double most) {
        long lent = (long) Math.max(0, Math.min(asked, Math.min(most, mUnits)));
        mUnits -= lent;
        return lent;
    }

    /** Returns the time until a request is likely to be admitted behind those refused recently. */
    long retryMillis(double unitsPerSecond, long first, long nowMillis) {
        double backlog = mRefused.perSecond(nowMillis) * REFUSED_MILLIS / MILLIS_PER_SECOND;
        double missing = Math.max(0, -mUnits) + Math.max(first, backlog);
        double millis = missing / unitsPerSecond * MILLIS_PER_SECOND;
        return Math.round(Math.min(MAX_RETRY_MILLIS, Math.max(MIN_RETRY_MILLIS, millis)));
    }
}
