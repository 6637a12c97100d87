package org.cyclamenpaddle.relay.backend;

/** What this host knows of one life of a backend server besides its entry; not thread-safe. */
final class BackendState {

    /** Weight of the newest reading in the excess wait. */
    private static final double NEWEST_WEIGHT = 0.3;

    /** Time after which half of an excess wait is forgotten, in milliseconds: bursts are short. */
    private static final double HALF_LIFE_MILLIS = 1_500;

    private final long mBornMillis;
    private final OpenWork mOpen = new OpenWork();
    private final BackendHealth mHealth = new BackendHealth();
    private double mExcessMillis;
    private long mExcessAtMillis;

    BackendState(long bornMillis) {
        mBornMillis = bornMillis;
    }

    long bornMillis() {
        return mBornMillis;
    }

    OpenWork open() {
        return mOpen;
    }

    BackendHealth health() {
        return mHealth;
    }

    /** Notes by how much a first answer byte came later than this host's own work explains. */
    void waited(double excessMillis, long nowMillis) {
        double old = excessMillis(nowMillis);
        mExcessMillis = old + NEWEST_WEIGHT * (Math.max(0, excessMillis) - old);
        mExcessAtMillis = nowMillis;
    }

    /** Returns the wait that others' work, or slowness, has caused of late. */
    double excessMillis(long nowMillis) {
        double halvings = Math.max(0, nowMillis - mExcessAtMillis) / HALF_LIFE_MILLIS;
        return mExcessMillis * Math.pow(0.5, halvings);
    }
}
