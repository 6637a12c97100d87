package org.cyclamenpaddle.routing.request;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.LongFunction;
import org.apache.commons.rng.UniformRandomProvider;
import org.cyclamenpaddle.core.id.AttemptId;
import org.cyclamenpaddle.core.message.GrantDecision;
import org.cyclamenpaddle.core.message.GrantResponse;
import org.cyclamenpaddle.core.time.VirtualClock;

/**
 * Performs a machine's effects on faulty engines and owners, by a seeded random and virtual time.
 */
final class FakeEngines implements RequestEffectHandler {

    static final int ANSWER_TOKENS = 12;
    private static final long TOKEN_MILLIS = 20;

    private record Event(long at, long order, LongFunction<List<RequestEffect>> deliver) {}

    private final VirtualClock mClock = new VirtualClock(1_000);
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
    private final UniformRandomProvider mRandom;
    private final double mFaultShare;
    private final Map<AttemptId, Integer> mHolding = new HashMap<>();
    private final Map<AttemptId, Integer> mIncarnationOfStream = new HashMap<>();
    private final Map<AttemptId, Integer> mLength = new HashMap<>();
    private final Set<AttemptId> mGranted = new HashSet<>();
    private final List<String> mAnswer = new ArrayList<>();
    private final List<RequestEffect> mFinals = new ArrayList<>();
    private RequestMachine mMachine;
    private long mOrder;
    private int mRetries;

    FakeEngines(UniformRandomProvider random, double faultShare) {
        mRandom = random;
        mFaultShare = faultShare;
    }

    static String token(int index) {
        return "t" + index;
    }

    void run(RequestMachine machine, long callerLeavesAfter) {
        mMachine = machine;
        performAll(machine.start(mClock.millis()));
        if (callerLeavesAfter > 0) {
            at(callerLeavesAfter, machine::onCallerDisconnected);
        }
        while (!mEvents.isEmpty()) {
            Event next = mEvents.poll();
            mClock.advanceTo(next.at());
            performAll(next.deliver().apply(mClock.millis()));
        }
    }

    List<String> answer() {
        return mAnswer;
    }

    List<RequestEffect> finals() {
        return mFinals;
    }

    Set<AttemptId> held() {
        return mHolding.keySet();
    }

    Set<AttemptId> granted() {
        return mGranted;
    }

    int retries() {
        return mRetries;
    }

    long now() {
        return mClock.millis();
    }

    private void performAll(List<RequestEffect> effects) {
        effects.forEach(effect -> effect.perform(this));
    }

    private void at(long delay, LongFunction<List<RequestEffect>> deliver) {
        mEvents.add(new Event(mClock.millis() + delay, mOrder++, deliver));
    }

    private boolean fault() {
        return mRandom.nextDouble() < mFaultShare;
    }

    private StepFailure failure(StepFailure... failures) {
        return failures[mRandom.nextInt(failures.length)];
    }

    @Override
    public void requestGrant(RequestEffect.RequestGrant effect) {
        AttemptId attempt = effect.request().attempt();
        if (fault()) {
            refuseOrLoseGrant(effect, attempt);
            return;
        }
        mGranted.add(attempt);
        GrantResponse answer =
                new GrantResponse(
                        attempt,
                        effect.request().backend(),
                        GrantDecision.GRANTED,
                        effect.request().neededInMillis() + mRandom.nextInt(50),
                        effect.request().neededInMillis() + 100);
        if (!fault()) {
            at(1 + mRandom.nextInt(300), now -> mMachine.onGrantResponse(answer, now));
        }
    }

    private void refuseOrLoseGrant(RequestEffect.RequestGrant effect, AttemptId attempt) {
        if (mRandom.nextBoolean()) {
            GrantDecision decision =
                    mRandom.nextBoolean() ? GrantDecision.TOO_LATE : GrantDecision.NOT_OWNER;
            GrantResponse answer =
                    new GrantResponse(attempt, effect.request().backend(), decision, 700, 900);
            at(2, now -> mMachine.onGrantResponse(answer, now));
        }
    }

    @Override
    public void releaseGrant(RequestEffect.ReleaseGrant effect) {
        mGranted.remove(effect.attempt());
    }

    @Override
    public void startPrefill(RequestEffect.StartPrefill effect) {
        AttemptId attempt = effect.attempt();
        mHolding.put(attempt, 0);
        if (!fault()) {
            at(20 + mRandom.nextInt(200), now -> mMachine.onPrefillDone(attempt, 100, 800, now));
        } else if (mRandom.nextBoolean()) {
            StepFailure failure =
                    failure(StepFailure.FULL, StepFailure.UNREACHABLE, StepFailure.BROKEN);
            at(10, now -> mMachine.onPrefillFailed(attempt, failure, now));
        }
    }

    @Override
    public void startDecode(RequestEffect.StartDecode effect) {
        AttemptId attempt = effect.attempt();
        mHolding.put(attempt, effect.firstIndex());
        if (fault()) {
            StepFailure failure =
                    failure(
                            StepFailure.FULL,
                            StepFailure.EVICTED,
                            StepFailure.UNREACHABLE,
                            StepFailure.BROKEN);
            if (failure == StepFailure.FULL) {
                // By the protocol a full engine has started nothing, and so holds nothing.
                mHolding.remove(attempt);
            }
            at(10, now -> mMachine.onStreamFailed(attempt, failure, now));
            return;
        }
        at(
                30,
                now -> {
                    mHolding.remove(effect.source());
                    return mMachine.onImported(attempt, now);
                });
        mLength.put(attempt, effect.maxTokens());
        stream(attempt, effect.firstIndex(), 40);
    }

    /** Delivers tokens from an index; an older stream of the attempt falls silent. */
    private void stream(AttemptId attempt, int from, long delay) {
        int life = mIncarnationOfStream.merge(attempt, 1, Integer::sum);
        long when = delay;
        for (int index = from; index < mLength.get(attempt); index++) {
            if (fault()) {
                if (mRandom.nextBoolean()) {
                    at(when, now -> mMachine.onStreamFailed(attempt, StepFailure.BROKEN, now));
                    return;
                }
                continue;
            }
            int current = index;
            boolean twice = fault();
            at(when, now -> deliver(attempt, life, current, now));
            if (twice) {
                at(when + 5, now -> deliver(attempt, life, current, now));
            }
            when += TOKEN_MILLIS;
        }
        if (!fault()) {
            at(when, now -> finishStream(attempt, now));
        }
    }

    private List<RequestEffect> deliver(AttemptId attempt, int life, int index, long now) {
        boolean current = mIncarnationOfStream.get(attempt) == life;
        return current ? mMachine.onToken(attempt, index, token(index), now) : List.of();
    }

    private List<RequestEffect> finishStream(AttemptId attempt, long now) {
        mHolding.remove(attempt);
        return mMachine.onEnd(attempt, mLength.get(attempt), "length", now);
    }

    @Override
    public void resume(RequestEffect.Resume effect) {
        if (fault()) {
            StepFailure failure = failure(StepFailure.UNKNOWN_ATTEMPT, StepFailure.UNREACHABLE);
            at(5, now -> mMachine.onStreamFailed(effect.attempt(), failure, now));
        } else {
            stream(effect.attempt(), effect.fromIndex(), 5);
        }
    }

    @Override
    public void cancel(RequestEffect.Cancel effect) {
        mHolding.remove(effect.attempt());
    }

    @Override
    public void emit(RequestEffect.Emit effect) {
        mAnswer.add(effect.text());
    }

    @Override
    public void finish(RequestEffect.Finish effect) {
        mFinals.add(effect);
    }

    @Override
    public void refuse(RequestEffect.Refuse effect) {
        mFinals.add(effect);
    }

    @Override
    public void setTimer(RequestEffect.SetTimer effect) {
        at(effect.delayMillis(), now -> mMachine.onTimer(effect.kind(), effect.generation(), now));
    }

    @Override
    public void countRetry(RequestEffect.CountRetry effect) {
        mRetries++;
    }

    @Override
    public void countWastedPrefill(RequestEffect.CountWastedPrefill effect) {
        // Counted by the engines themselves where it matters.
    }
}
