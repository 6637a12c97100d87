package org.cyclamenpaddle.routing.experiment;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.LongConsumer;
import org.cyclamenpaddle.core.config.BackendRole;
import org.cyclamenpaddle.core.config.BackendSpec;
import org.cyclamenpaddle.core.id.AttemptId;
import org.cyclamenpaddle.routing.grant.ObservedAttempt;

/**
 * Timing model of a decode engine: slots, and a time between tokens that grows with the batch.
 *
 * <p>Progress is counted in tokens that each running request has received since the start of the
 * run, so that a change of the batch changes one number, whatever its size.
 */
final class DecodeModel {

    private record Running(AttemptId attempt, double endsAtTokens, LongConsumer whenEnded) {}

    private final EventLoop mLoop;
    private final BackendSpec mSpec;
    private final double mIdleShare;
    private final Map<AttemptId, Boolean> mHeld = new HashMap<>();
    private final TreeSet<Running> mRunning =
            new TreeSet<>(
                    Comparator.comparingDouble(Running::endsAtTokens)
                            .thenComparing(Running::attempt));

    private double mTokens;
    private long mTokensAtMillis;
    private long mGeneration;

    DecodeModel(EventLoop loop, BackendSpec spec, double idleShare) {
        mIdleShare = idleShare;
        mLoop = loop;
        mSpec = spec;
    }

    BackendSpec spec() {
        return mSpec;
    }

    int freeSlots() {
        return mSpec.slots() - mHeld.size();
    }

    /** Reserves a slot for an import; returns whether one was free. */
    boolean tryHold(AttemptId attempt) {
        if (freeSlots() <= 0) {
            return false;
        }
        mHeld.put(attempt, true);
        return true;
    }

    /** Starts generating for an attempt that holds a slot. */
    void start(AttemptId attempt, int tokens, LongConsumer whenEnded) {
        advance();
        mRunning.add(new Running(attempt, mTokens + tokens, whenEnded));
        schedule();
    }

    int batch() {
        return mRunning.size();
    }

    long tokenMillis() {
        return Math.round(tokenInterval());
    }

    List<ObservedAttempt> attempts() {
        return mHeld.keySet().stream()
                .map(attempt -> new ObservedAttempt(attempt, BackendRole.DECODE, 1, false))
                .toList();
    }

    private double tokenInterval() {
        double share = (double) mRunning.size() / mSpec.slots();
        return mSpec.tokenMillis() * (mIdleShare + (1 - mIdleShare) * share);
    }

    private void advance() {
        mTokens += (mLoop.now() - mTokensAtMillis) / tokenInterval();
        mTokensAtMillis = mLoop.now();
    }

    private void schedule() {
        mGeneration++;
        if (mRunning.isEmpty()) {
            return;
        }
        long generation = mGeneration;
        double left = Math.max(0, mRunning.first().endsAtTokens() - mTokens) * tokenInterval();
        mLoop.after((long) Math.ceil(left), () -> completeDue(generation));
    }

    private void completeDue(long generation) {
        if (generation != mGeneration) {
            return;
        }
        advance();
        while (!mRunning.isEmpty() && mRunning.first().endsAtTokens() <= mTokens + 1e-6) {
            Running ended = mRunning.pollFirst();
            mHeld.remove(ended.attempt());
            ended.whenEnded().accept(mLoop.now());
        }
        schedule();
    }
}
