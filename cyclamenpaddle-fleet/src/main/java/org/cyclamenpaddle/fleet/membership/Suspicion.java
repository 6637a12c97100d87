package org.cyclamenpaddle.fleet.membership;

import java.util.Optional;

/** One round of confirming that a silent host is dead. */
final class Suspicion {

    private final long mDeadlineMillis;
    private final boolean mFirstHand;
    private Optional<Boolean> mOwnResult = Optional.empty();
    private int mAnswersAwaited;
    private boolean mReachedByOthers;

    /**
     * Starts a round.
     *
     * @param deadlineMillis when answers of others are waited for no more
     * @param helpers how many others were asked
     * @param firstHand whether this host itself noticed the silence, and so has to tell others
     */
    Suspicion(long deadlineMillis, int helpers, boolean firstHand) {
        mDeadlineMillis = deadlineMillis;
        mAnswersAwaited = helpers;
        mFirstHand = firstHand;
    }

    void ownResult(boolean reachable) {
        mOwnResult = Optional.of(reachable);
    }

    void answer(boolean reachable) {
        mAnswersAwaited--;
        mReachedByOthers |= reachable;
    }

    boolean firstHand() {
        return mFirstHand;
    }

    boolean reachedByOthers() {
        return mReachedByOthers;
    }

    /** Returns whether the own connection failed and no further answer is worth waiting for. */
    boolean settled(long nowMillis) {
        boolean unreachable = mOwnResult.isPresent() && !mOwnResult.get();
        return unreachable
                && (mReachedByOthers || mAnswersAwaited <= 0 || nowMillis >= mDeadlineMillis);
    }

    /** Returns whether the report on the own connection is overdue and the probe must be redone. */
    boolean overdue(long nowMillis, long graceMillis) {
        return mOwnResult.isEmpty() && nowMillis >= mDeadlineMillis + graceMillis;
    }
}
