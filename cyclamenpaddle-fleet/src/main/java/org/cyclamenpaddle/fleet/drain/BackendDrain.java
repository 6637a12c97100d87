package org.cyclamenpaddle.fleet.drain;

import java.util.List;
import org.cyclamenpaddle.core.id.BackendId;

/**
 * Drain of one backend server, as seen by the owner of its ledger.
 *
 * <p>Level-triggered: it is told over and over what is wanted and what is left, so an owner that
 * takes over in the middle of a drain comes to the same result. Not thread-safe.
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
     * Creates the drain of a backend server that takes work.
     *
     * @param backend the backend server
     */
    public BackendDrain(BackendId backend) {
        mBackend = backend;
    }

    /**
     * Takes in what is wanted and what is left.
     *
     * @param leave whether the configuration in force, or a change of role, asks it to take no work
     * @param grants grants in the owner's ledger
     * @param attempts attempts that the backend server itself lists as not ended
     */
    public List<DrainEffect> update(boolean leave, int grants, int attempts) {
        if (!leave) {
            return open();
        }
        if (mStage == Stage.OPEN) {
            mStage = Stage.DRAINING;
            // Grants and attempts are counted from the next update on, when none can be added.
            return List.of(new DrainEffect.CloseLedger(mBackend));
        }
        // The ledger alone would miss attempts from before a change of owner, and the backend
        // server's list alone would miss grants whose work has not arrived yet.
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
