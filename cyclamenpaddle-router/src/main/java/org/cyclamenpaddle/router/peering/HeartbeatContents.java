package org.cyclamenpaddle.router.peering;

import java.util.List;
import org.cyclamenpaddle.core.message.LedgerSummary;
import org.cyclamenpaddle.fleet.membership.HeartbeatSource;
import org.cyclamenpaddle.router.blackboard.Blackboard;
import org.cyclamenpaddle.router.blackboard.ConfigurationState;
import org.cyclamenpaddle.router.grant.LedgerManager;

/**
 * What heartbeats tell besides membership, copied before each tick.
 *
 * <p>Membership asks for it under the lock of its own table, where the table of configuration,
 * which comes earlier in the lock order, must not be read.
 */
public final class HeartbeatContents implements HeartbeatSource {

    private record Contents(long digest, long inForceVersion, List<LedgerSummary> ledgers) {}

    private volatile Contents mContents = new Contents(0, 0, List.of());

    /** Copies the present contents. */
    public void refresh(Blackboard blackboard, LedgerManager ledgers) {
        long digest = blackboard.configuration().read(ConfigurationState::digest);
        long inForce = blackboard.configuration().read(ConfigurationState::inForceVersion);
        mContents = new Contents(digest, inForce, ledgers.summaries());
    }

    @Override
    public long configurationDigest() {
        return mContents.digest();
    }

    @Override
    public long inForceVersion() {
        return mContents.inForceVersion();
    }

    @Override
    public List<LedgerSummary> ledgers() {
        return mContents.ledgers();
    }
}
