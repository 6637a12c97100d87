package org.cyclamenpaddle.fleet.membership;

import java.util.Optional;
import org.cyclamenpaddle.core.message.HostRecord;
import org.cyclamenpaddle.core.message.HostState;

/** What this host keeps of one other host. */
final class Member {

    private HostRecord mRecord;
    private boolean mLeaving;
    private boolean mUnreachableHere;
    private boolean mDeathRelayed;
    private long mHeardMillis;
    private long mChangedMillis;
    private long mProbedMillis = Long.MIN_VALUE / 2;
    private long mSequence;
    private Optional<Suspicion> mSuspicion = Optional.empty();

    Member(HostRecord record, long nowMillis) {
        mRecord = record;
        mLeaving = record.state() == HostState.LEAVING;
        mHeardMillis = nowMillis;
        mChangedMillis = nowMillis;
    }

    HostRecord record() {
        return mRecord;
    }

    HostState state() {
        return mRecord.state();
    }

    boolean dead() {
        return state() == HostState.DEAD;
    }

    /** Returns whether this host would give it work. */
    boolean usable() {
        return !mLeaving && !dead() && !mUnreachableHere;
    }

    /** Returns whether it is neither known to live nor known to be dead. */
    boolean inDoubt() {
        return state() == HostState.SUSPECT;
    }

    boolean unreachableHere() {
        return mUnreachableHere;
    }

    long heardMillis() {
        return mHeardMillis;
    }

    long changedMillis() {
        return mChangedMillis;
    }

    long probedMillis() {
        return mProbedMillis;
    }

    Optional<Suspicion> suspicion() {
        return mSuspicion;
    }

    /** Takes note of a heartbeat's number; returns false for one that is late or a duplicate. */
    boolean acceptSequence(long sequence) {
        if (sequence <= mSequence) {
            return false;
        }
        mSequence = sequence;
        return true;
    }

    /** Takes note of a sign of life; returns whether the state changed. */
    boolean heard(long nowMillis) {
        mHeardMillis = nowMillis;
        mSuspicion = Optional.empty();
        mUnreachableHere = false;
        mDeathRelayed = false;
        return become(mLeaving ? HostState.LEAVING : HostState.ALIVE, nowMillis);
    }

    /** Takes note that the host is going through a planned stop; returns whether that is new. */
    boolean leave(long nowMillis) {
        mLeaving = true;
        return state() == HostState.ALIVE && become(HostState.LEAVING, nowMillis);
    }

    /** Starts a round of confirmation; returns whether the state changed. */
    boolean suspect(Suspicion suspicion, long nowMillis) {
        mSuspicion = Optional.of(suspicion);
        mProbedMillis = nowMillis;
        return become(HostState.SUSPECT, nowMillis);
    }

    /** Keeps the host as a suspect that others reach but this host does not. */
    void unreachable(long nowMillis) {
        mSuspicion = Optional.empty();
        mUnreachableHere = true;
        mProbedMillis = nowMillis;
    }

    void die(long nowMillis) {
        mSuspicion = Optional.empty();
        mUnreachableHere = false;
        become(HostState.DEAD, nowMillis);
    }

    void probed(long nowMillis) {
        mProbedMillis = nowMillis;
    }

    /** Returns whether the news of its death was not relayed by this host yet, and marks it so. */
    boolean relayDeathOnce() {
        boolean first = !mDeathRelayed;
        mDeathRelayed = true;
        return first;
    }

    /**
     * Forgives a silence during which this host itself was not running.
     *
     * @param gapMillis how long it was not running
     * @param retryMillis latest sign of life to assume, if a round of confirmation was going on
     */
    void forgive(long gapMillis, long retryMillis) {
        mHeardMillis += gapMillis;
        if (mSuspicion.isPresent()) {
            mSuspicion = Optional.empty();
            mHeardMillis = Math.max(mHeardMillis, retryMillis);
        }
    }

    private boolean become(HostState state, long nowMillis) {
        if (mRecord.state() == state) {
            return false;
        }
        mRecord = mRecord.withState(state);
        mChangedMillis = nowMillis;
        return true;
    }
}
