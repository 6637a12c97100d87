package org.cyclamenpaddle.fleet.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Object store with versions and conditional updates, which may be away, slow, or lose its answer
 * before or after the write takes effect.
 *
 * @param <T> type of the values
 */
final class FakePlatform<T> {

    /** A stored value; empty for a deleted object. */
    record Stored<T>(String key, long version, Optional<T> value) {}

    /** What a caller gets back. */
    enum Result {
        DONE,
        CONFLICT,
        LOST,
        AWAY
    }

    /** Result of a call, with the object as it stands where the result tells it. */
    record Answer<T>(Result result, Stored<T> stored) {}

    private static final int LOST_AFTER_MILLIS = 100;
    private static final int LATE_MILLIS = 400;

    private final EventQueue mQueue;
    private final UniformRandomProvider mRandom;
    private final Map<String, Stored<T>> mObjects = new HashMap<>();
    private final List<Stored<T>> mLog = new ArrayList<>();
    private long mRevision;
    boolean mAway;
    double mLoss;
    long mCalls;

    FakePlatform(EventQueue queue, UniformRandomProvider random) {
        mQueue = queue;
        mRandom = random;
    }

    long revision() {
        return mRevision;
    }

    Stored<T> stored(String key) {
        return mObjects.getOrDefault(key, new Stored<>(key, 0, Optional.empty()));
    }

    List<Stored<T>> log() {
        return mLog;
    }

    List<Stored<T>> objects() {
        return mObjects.values().stream().filter(o -> o.value().isPresent()).toList();
    }

    /** Writes at once, for whoever is not under test. */
    Stored<T> write(String key, Optional<T> value) {
        mRevision++;
        Stored<T> stored = new Stored<>(key, mRevision, value);
        mObjects.put(key, stored);
        mLog.add(stored);
        return stored;
    }

    void read(String key, Consumer<Answer<T>> then) {
        mCalls++;
        if (mAway || mRandom.nextDouble() < mLoss) {
            answer(new Answer<>(Result.AWAY, stored(key)), LOST_AFTER_MILLIS, then);
            return;
        }
        Answer<T> answer = new Answer<>(Result.DONE, stored(key));
        answer(answer, delay(), then);
    }

    void put(String key, long expected, T value, Consumer<Answer<T>> then) {
        mCalls++;
        if (mAway) {
            answer(new Answer<>(Result.AWAY, stored(key)), LOST_AFTER_MILLIS, then);
            return;
        }
        boolean lost = mRandom.nextDouble() < mLoss;
        // A lost write may have taken effect already, take effect late, or never.
        boolean never = lost && mRandom.nextInt(3) == 0;
        int late = lost ? mRandom.nextInt(LATE_MILLIS) : delay();
        if (!never) {
            mQueue.after(late, () -> effect(key, expected, value, lost, then));
        }
        if (lost) {
            answer(new Answer<>(Result.LOST, stored(key)), LOST_AFTER_MILLIS, then);
        }
    }

    private void effect(
            String key, long expected, T value, boolean lost, Consumer<Answer<T>> then) {
        boolean matches = stored(key).version() == expected;
        if (matches) {
            write(key, Optional.of(value));
        }
        if (!lost) {
            Result result = matches ? Result.DONE : Result.CONFLICT;
            answer(new Answer<>(result, stored(key)), delay(), then);
        }
    }

    private void answer(Answer<T> answer, int millis, Consumer<Answer<T>> then) {
        mQueue.after(millis, () -> then.accept(answer));
    }

    private int delay() {
        return 1 + mRandom.nextInt(10);
    }
}
