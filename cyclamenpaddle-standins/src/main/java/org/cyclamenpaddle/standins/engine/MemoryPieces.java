package org.cyclamenpaddle.standins.engine;

import org.cyclamenpaddle.core.invariant.Invariants;

/** Pieces of engine memory held by attempts. */
final class MemoryPieces {

    private final int mLimit;
    private int mUsed;

    MemoryPieces(int limit) {
        mLimit = limit;
    }

    boolean take(int pieces) {
        if (mUsed + pieces > mLimit) {
            return false;
        }
        mUsed += pieces;
        return true;
    }

    void release(int pieces) {
        mUsed -= pieces;
        Invariants.require(mUsed >= 0, () -> "released more pieces than held: " + mUsed);
    }

    int limit() {
        return mLimit;
    }

    int used() {
        return mUsed;
    }
}
