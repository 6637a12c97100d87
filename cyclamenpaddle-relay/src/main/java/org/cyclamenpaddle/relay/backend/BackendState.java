package org.cyclamenpaddle.relay.backend;

import java.util.Optional;

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

    /**
     * How long an entry that its server denies is not used, in milliseconds.
     *
     * <p>Safeguard: a server that starts again has another id or stage some seconds before the
     * store says so. It still keeps places, which looks like room, and turns every request away
     * that follows; callers use up their attempts on it. A new entry comes with the server's next
     * heartbeat, about a second later; this is three of them.
     */
    static final long OUTDATED_MILLIS = 3_600;

    private final long mBornMillis;
    private final OpenWork mOpen = new OpenWork();
    private final BackendHealth mHealth = new BackendHealth();
    private final FadingMean mExcess = new FadingMean(NEWEST_WEIGHT, HALF_LIFE_MILLIS);
    private long mFullUntilMillis = Long.MIN_VALUE;
    private long mAnsweredMillis = Long.MIN_VALUE;
    private Optional<Backend> mOutdated = Optional.empty();
    private long mOutdatedUntilMillis;

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

    /** Notes that the server is not, or no longer, what an entry says. */
    void outdated(Backend entry, long nowMillis) {
        mOutdated = Optional.of(entry);
        mOutdatedUntilMillis = nowMillis + OUTDATED_MILLIS;
    }

    /** Returns whether an entry is known to be wrong, and no newer one has come since. */
    boolean isOutdated(Backend entry, long nowMillis) {
        return nowMillis < mOutdatedUntilMillis && mOutdated.map(entry::equals).orElse(false);
    }

    /** Notes by how much a first answer byte came later than this host's own work explains. */
    void waited(double excessMillis, long nowMillis) {
        mAnsweredMillis = nowMillis;
        mExcess.add(Math.max(0, excessMillis), nowMillis);
    }

    /** Returns whether a first answer byte has come since a moment. */
    boolean answeredSince(long millis) {
        return mAnsweredMillis >= millis;
    }

    /** Returns the wait that others' work, or slowness, has caused of late. */
    double excessMillis(long nowMillis) {
        return mExcess.at(nowMillis);
    }
}
