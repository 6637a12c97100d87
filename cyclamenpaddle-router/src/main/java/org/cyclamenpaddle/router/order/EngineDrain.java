package org.cyclamenpaddle.router.order;

import java.util.function.IntSupplier;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.fleet.drain.BackendDrain;
import org.cyclamenpaddle.fleet.drain.DrainEffect;
import org.cyclamenpaddle.router.event.EventLog;
import org.cyclamenpaddle.router.event.LogEvent;

/**
 * Tracks the drain of one engine before a change, from the engine's own list of attempts and the
 * owner's ledger.
 */
final class EngineDrain {

    private final BackendId mEngine;
    private final IntSupplier mGrants;
    private final EventLog mLog;
    private final BackendDrain mDrain;
    private boolean mActive;
    private long mSinceMillis;

    EngineDrain(BackendId engine, IntSupplier grants, EventLog log) {
        mEngine = engine;
        mGrants = grants;
        mLog = log;
        mDrain = new BackendDrain(engine);
    }

    /** Starts the drain; the ledger must already be closed. */
    void start(long nowMillis) {
        mActive = true;
        mSinceMillis = nowMillis;
        int grants = mGrants.getAsInt();
        mDrain.update(true, grants, 0);
        mLog.log(LogEvent.DRAIN_STARTED, mEngine, grants);
    }

    void end() {
        mActive = false;
        mDrain.update(false, 0, 0);
    }

    /** Handles the number of attempts that the engine listed as running. */
    void onListed(int running, long requestedAtMillis) {
        // A list requested before the ledger was closed may miss work that started after it and
        // whose grant has ended since; the engine would be changed while that work is running.
        if (!mActive || requestedAtMillis <= mSinceMillis) {
            return;
        }
        mDrain.update(true, mGrants.getAsInt(), running).stream()
                .filter(DrainEffect.Drained.class::isInstance)
                .forEach(drained -> mLog.log(LogEvent.DRAIN_ENDED, mEngine));
    }

    boolean drained() {
        return mDrain.drained();
    }
}
