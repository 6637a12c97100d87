package org.cyclamenpaddle.fleet.drain;

import java.util.List;
import org.cyclamenpaddle.core.id.BackendId;

/**
 * Drain of one backend server, on the owner of its ledger.
 *
 * <p>Level-triggered: every update carries the desired state and the remaining work, so an owner
 * that takes over during a drain reaches the same result. Not thread-safe.
 */
public final class BackendDrain {

    private enum Stage {
        OPEN,
        DRAINING,
        DRAINED
    }

    private final BackendId mBackend;
    private Stage mStage = Stage.OPEN;

    /**
     * Creates the drain of a backend server that accepts work.
     *
     * @param backend the backend server
     */
    public BackendDrain(BackendId backend) {
        mBackend = backend;
    }

    /**
     * Processes the desired state and the remaining work.
     *
     * @param leave whether the configuration in force, or a change of role, requires the drain
     * @param grants number of grants in the owner's ledger
     * @param attempts number of attempts that the backend server lists as not ended
     */
    public List<DrainEffect> update(boolean leave, int grants, int attempts) {
        if (!leave) {
            return open();
        }
        if (mStage == Stage.OPEN) {
            mStage = Stage.DRAINING;
            // Grants and attempts count only from the next update on, when none can be added any
            // more.
            return List.of(new DrainEffect.CloseLedger(mBackend));
        }
        // The ledger alone misses attempts from before a change of owner, and the backend server's
        // list alone misses grants whose work has not arrived yet.
        if (mStage == Stage.DRAINING && grants == 0 && attempts == 0) {
            mStage = Stage.DRAINED;
            return List.of(new DrainEffect.Drained(mBackend));
        }
        return List.of();
    }

    /** Returns whether new work may be granted. */
    public boolean takesWork() {
        return mStage == Stage.OPEN;
    }

    /** Returns whether the drain is complete. */
    public boolean drained() {
        return mStage == Stage.DRAINED;
    }

    private List<DrainEffect> open() {
        if (mStage == Stage.OPEN) {
            return List.of();
        }
        mStage = Stage.OPEN;
        return List.of(new DrainEffect.OpenLedger(mBackend));
    }
}
