package org.cyclamenpaddle.relay.backend;

/** What this host knows of one life of a backend server besides its entry; not thread-safe. */
final class BackendState {

    /** Weight of the newest reading in the excess wait. */
    private static final double NEWEST_WEIGHT = 0.3;

    /** Time after which half of an excess wait is forgotten, in milliseconds: bursts are short. */
    private static final double HALF_LIFE_MILLIS = 1_500;

    /**
     * How long a server counts as full after it said so, in milliseconds.
     *
     * <p>Under the shortest pause between two asks of a waiting request, so that none meets a mark
     * that another request of this host has just renewed; long enough that requests which wait
     * together share one answer.
     */
    static final long FULL_MILLIS = 20;

    private final long mBornMillis;
    private final OpenWork mOpen = new OpenWork();
    private final BackendHealth mHealth = new BackendHealth();
    private final FadingMean mExcess = new FadingMean(NEWEST_WEIGHT, HALF_LIFE_MILLIS);
    private long mFullUntilMillis = Long.MIN_VALUE;

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

    void started(WorkSize size) {
        mOpen.started(size);
        mHealth.sent();
    }

    void full(long nowMillis) {
        mFullUntilMillis = nowMillis + FULL_MILLIS;
    }

    boolean isFull(long nowMillis) {
        return nowMillis < mFullUntilMillis;
    }

    /** Notes by how much a first answer byte came later than this host's own work explains. */
    void waited(double excessMillis, long nowMillis) {
        mExcess.add(Math.max(0, excessMillis), nowMillis);
    }

    /** Returns the wait that others' work, or slowness, has caused of late. */
    double excessMillis(long nowMillis) {
        return mExcess.at(nowMillis);
    }
}
