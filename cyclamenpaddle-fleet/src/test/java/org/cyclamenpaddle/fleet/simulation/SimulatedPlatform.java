package org.cyclamenpaddle.fleet.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Object store with versions and conditional updates, which may be unavailable, slow, or lose its
 * response before or after a write takes effect.
 *
 * @param <T> type of the values
 */
final class SimulatedPlatform<T> {

    /** A stored value; empty for a deleted object. */
    record Stored<T>(String key, long version, Optional<T> value) {}

    /** Outcome of a call, as observed by the caller. */
    enum Result {
        DONE,
        CONFLICT,
        LOST,
        UNAVAILABLE
    }

    /** Response to a call, with the stored object. */
    record StoreResponse<T>(Result result, Stored<T> stored) {}

    private static final int RESPONSE_TIMEOUT_MILLIS = 100;
    private static final int MAX_LATE_WRITE_MILLIS = 400;

    private final EventQueue mQueue;
    private final UniformRandomProvider mRandom;
    private final Map<String, Stored<T>> mObjects = new HashMap<>();
    private final List<Stored<T>> mLog = new ArrayList<>();
    private long mRevision;
    boolean mUnavailable;
    double mLossRate;
    long mCalls;

    SimulatedPlatform(EventQueue queue, UniformRandomProvider random) {
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

    /** Writes immediately and without faults. */
    Stored<T> write(String key, Optional<T> value) {
        mRevision++;
        Stored<T> stored = new Stored<>(key, mRevision, value);
        mObjects.put(key, stored);
        mLog.add(stored);
        return stored;
    }

    void read(String key, Consumer<StoreResponse<T>> then) {
        mCalls++;
        if (mUnavailable || mRandom.nextDouble() < mLossRate) {
            respond(
                    new StoreResponse<>(Result.UNAVAILABLE, stored(key)),
                    RESPONSE_TIMEOUT_MILLIS,
                    then);
            return;
        }
        StoreResponse<T> response = new StoreResponse<>(Result.DONE, stored(key));
        respond(response, delay(), then);
    }

    void put(String key, long expected, T value, Consumer<StoreResponse<T>> then) {
        mCalls++;
        if (mUnavailable) {
            respond(
                    new StoreResponse<>(Result.UNAVAILABLE, stored(key)),
                    RESPONSE_TIMEOUT_MILLIS,
                    then);
            return;
        }
        boolean lost = mRandom.nextDouble() < mLossRate;
        // A write whose response is lost may take effect in time, late or never.
        boolean never = lost && mRandom.nextInt(3) == 0;
        int late = lost ? mRandom.nextInt(MAX_LATE_WRITE_MILLIS) : delay();
        if (!never) {
            mQueue.after(late, () -> effect(key, expected, value, lost, then));
        }
        if (lost) {
            respond(new StoreResponse<>(Result.LOST, stored(key)), RESPONSE_TIMEOUT_MILLIS, then);
        }
    }

    private void effect(
            String key, long expected, T value, boolean lost, Consumer<StoreResponse<T>> then) {
        boolean matches = stored(key).version() == expected;
        if (matches) {
            write(key, Optional.of(value));
        }
        if (!lost) {
            Result result = matches ? Result.DONE : Result.CONFLICT;
            respond(new StoreResponse<>(result, stored(key)), delay(), then);
        }
    }

    private void respond(StoreResponse<T> response, int millis, Consumer<StoreResponse<T>> then) {
        mQueue.after(millis, () -> then.accept(response));
    }

    private int delay() {
        return 1 + mRandom.nextInt(10);
    }
}
