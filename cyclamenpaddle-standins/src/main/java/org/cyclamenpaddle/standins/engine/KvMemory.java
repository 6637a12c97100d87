package org.cyclamenpaddle.standins.engine;

import org.cyclamenpaddle.core.invariant.Invariants;

/** Allocation of KV cache memory to attempts, in blocks. */
final class KvMemory {

    private final int mCapacity;
    private int mUsed;

    KvMemory(int capacity) {
        mCapacity = capacity;
    }

    boolean tryAllocate(int pieces) {
        if (mUsed + pieces > mCapacity) {
            return false;
        }
        mUsed += pieces;
        return true;
    }

    void release(int pieces) {
        mUsed -= pieces;
        Invariants.require(
                mUsed >= 0, () -> "released more pages than were allocated: used is " + mUsed);
    }

    int capacity() {
        return mCapacity;
    }

    int used() {
        return mUsed;
    }
}
