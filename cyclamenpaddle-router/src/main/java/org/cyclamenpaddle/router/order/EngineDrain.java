package org.cyclamenpaddle.router.order;

import java.util.function.IntSupplier;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.fleet.drain.BackendDrain;
import org.cyclamenpaddle.fleet.drain.DrainEffect;
import org.cyclamenpaddle.router.event.EventLog;
import org.cyclamenpaddle.router.event.LogEvent;

/** The drain of one engine before a change: fed by its own list and the owner's ledger. */
final class EngineDrain {

    private final BackendId mEngine;
    private final IntSupplier mGrants;
    private final EventLog mLog;
    private final BackendDrain mDrain;
    private boolean mWanted;
    private long mSinceMillis;

    EngineDrain(BackendId engine, IntSupplier grants, EventLog log) {
        mEngine = engine;
        mGrants = grants;
        mLog = log;
        mDrain = new BackendDrain(engine);
    }

    /** Starts; the ledger must be closed already. */
    void start(long nowMillis) {
        mWanted = true;
        mSinceMillis = nowMillis;
        int grants = mGrants.getAsInt();
        mDrain.update(true, grants, 0);
        mLog.log(LogEvent.DRAIN_STARTED, mEngine, grants);
    }

    void end() {
        mWanted = false;
        mDrain.update(false, 0, 0);
    }

    /** Takes in how many attempts the engine listed as running. */
    void onListed(int running, long askedAtMillis) {
        // A list asked for before the ledger was closed may lack work that came after it, whose
        // grant has ended meanwhile; the engine would be changed under that work.
        if (!mWanted || askedAtMillis <= mSinceMillis) {
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
