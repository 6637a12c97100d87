package org.cyclamenpaddle.fleet.membership;

import java.util.Optional;
import org.cyclamenpaddle.core.message.HostRecord;
import org.cyclamenpaddle.core.message.HostState;

/** State of one other host in this host's view. */
final class Member {

    private HostRecord mRecord;
    private boolean mLeaving;
    private boolean mUnreachableLocally;
    private boolean mDeathRelayed;
    private long mLastHeardMillis;
    private long mStateChangedMillis;
    private long mLastProbedMillis = Long.MIN_VALUE / 2;
    private long mSequence;
    private Optional<Suspicion> mSuspicion = Optional.empty();

    Member(HostRecord record, long nowMillis) {
        mRecord = record;
        mLeaving = record.state() == HostState.LEAVING;
        mLastHeardMillis = nowMillis;
        mStateChangedMillis = nowMillis;
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

    /** Returns whether this host may send work to it. */
    boolean usable() {
        return !mLeaving && !dead() && !mUnreachableLocally;
    }

    /** Returns whether it is suspected, so neither known to be alive nor confirmed dead. */
    boolean suspected() {
        return state() == HostState.SUSPECT;
    }

    boolean unreachableLocally() {
        return mUnreachableLocally;
    }

    long heardMillis() {
        return mLastHeardMillis;
    }

    long changedMillis() {
        return mStateChangedMillis;
    }

    long probedMillis() {
        return mLastProbedMillis;
    }

    Optional<Suspicion> suspicion() {
        return mSuspicion;
    }

    /** Records a heartbeat's sequence number; returns false for a late or duplicate heartbeat. */
    boolean acceptSequence(long sequence) {
        if (sequence <= mSequence) {
            return false;
        }
        mSequence = sequence;
        return true;
    }

    /** Records proof that the host is alive; returns whether the state changed. */
    boolean markAlive(long nowMillis) {
        mLastHeardMillis = nowMillis;
        mSuspicion = Optional.empty();
        mUnreachableLocally = false;
        mDeathRelayed = false;
        return changeState(mLeaving ? HostState.LEAVING : HostState.ALIVE, nowMillis);
    }

    /** Records that the host is in a planned stop; returns whether the state changed. */
    boolean markLeaving(long nowMillis) {
        mLeaving = true;
        return state() == HostState.ALIVE && changeState(HostState.LEAVING, nowMillis);
    }

    /** Starts a confirmation round; returns whether the state changed. */
    boolean suspect(Suspicion suspicion, long nowMillis) {
        mSuspicion = Optional.of(suspicion);
        mLastProbedMillis = nowMillis;
        return changeState(HostState.SUSPECT, nowMillis);
    }

    /** Marks the host as a suspect that other hosts can reach but this host cannot. */
    void markUnreachable(long nowMillis) {
        mSuspicion = Optional.empty();
        mUnreachableLocally = true;
        mLastProbedMillis = nowMillis;
    }

    void markDead(long nowMillis) {
        mSuspicion = Optional.empty();
        mUnreachableLocally = false;
        changeState(HostState.DEAD, nowMillis);
    }

    void markProbed(long nowMillis) {
        mLastProbedMillis = nowMillis;
    }

    /** Marks its death as relayed by this host; returns whether it had not been relayed before. */
    boolean relayDeathOnce() {
        boolean first = !mDeathRelayed;
        mDeathRelayed = true;
        return first;
    }

    /**
     * Excludes a pause of this host from the silence of the other host.
     *
     * @param gapMillis duration of the pause
     * @param retryMillis time at which the host counts as last heard from, if later, when a
     *     confirmation round was in progress
     */
    void compensatePause(long gapMillis, long retryMillis) {
        mLastHeardMillis += gapMillis;
        if (mSuspicion.isPresent()) {
            mSuspicion = Optional.empty();
            mLastHeardMillis = Math.max(mLastHeardMillis, retryMillis);
        }
    }

    private boolean changeState(HostState state, long nowMillis) {
        if (mRecord.state() == state) {
            return false;
        }
        mRecord = mRecord.withState(state);
        mStateChangedMillis = nowMillis;
        return true;
    }
}
