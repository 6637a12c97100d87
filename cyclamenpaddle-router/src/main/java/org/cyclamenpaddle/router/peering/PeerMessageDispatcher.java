package org.cyclamenpaddle.router.peering;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.cyclamenpaddle.core.message.ClaimRequest;
import org.cyclamenpaddle.core.message.ConfigurationRequest;
import org.cyclamenpaddle.core.message.ConfigurationResponse;
import org.cyclamenpaddle.core.message.Heartbeat;
import org.cyclamenpaddle.core.message.HostRecord;
import org.cyclamenpaddle.core.message.PeerMessage;
import org.cyclamenpaddle.core.message.ProbeRequest;
import org.cyclamenpaddle.core.message.ProbeResponse;
import org.cyclamenpaddle.core.message.StrikeNotice;
import org.cyclamenpaddle.core.time.Clock;
import org.cyclamenpaddle.peer.net.PeerListener;
import org.cyclamenpaddle.router.blackboard.Blackboard;
import org.cyclamenpaddle.router.booking.Bookings;
import org.cyclamenpaddle.router.configuration.ConfigurationDriver;
import org.cyclamenpaddle.router.grant.LedgerManager;

/** Passes each message of a peer to the controller that it is for. */
public final class PeerMessageDispatcher implements PeerListener {

    private static final CompletableFuture<Optional<PeerMessage>> NO_ANSWER =
            CompletableFuture.completedFuture(Optional.empty());

    private final MembershipDriver mMembership;
    private final ConfigurationDriver mConfiguration;
    private final LedgerManager mLedgers;
    private final Bookings mBookings;
    private final Blackboard mBlackboard;
    private final Clock mClock;

    /**
     * Creates the dispatch.
     *
     * @param membership heartbeats and probes
     * @param configuration replica
     * @param ledgers grants
     * @param bookings claims
     * @param blackboard hints and strikes
     * @param clock time in milliseconds
     */
    public PeerMessageDispatcher(
            MembershipDriver membership,
            ConfigurationDriver configuration,
            LedgerManager ledgers,
            Bookings bookings,
            Blackboard blackboard,
            Clock clock) {
        mMembership = membership;
        mConfiguration = configuration;
        mLedgers = ledgers;
        mBookings = bookings;
        mBlackboard = blackboard;
        mClock = clock;
    }

    @Override
    public CompletableFuture<Optional<PeerMessage>> onMessage(
            HostRecord from, PeerMessage message) {
        if (message instanceof Heartbeat heartbeat) {
            onHeartbeat(heartbeat);
        } else if (message instanceof ProbeRequest ask) {
            mMembership.onProbeRequest(from, ask);
        } else if (message instanceof ProbeResponse answer) {
            mMembership.onProbeResponse(answer);
        } else if (message instanceof ConfigurationRequest ask) {
            return mConfiguration.onPeerRequest(ask);
        } else if (message instanceof ConfigurationResponse pushed) {
            mConfiguration.onPeerPush(pushed);
        } else if (message instanceof ClaimRequest ask) {
            return mBookings.onClaimRequest(ask).thenApply(Optional::of);
        } else if (message instanceof StrikeNotice notice) {
            mBlackboard.quarantine().write(table -> table.merge(notice, mClock.millis()));
        } else {
            return CompletableFuture.completedFuture(mLedgers.onPeerMessage(message));
        }
        return NO_ANSWER;
    }

    private void onHeartbeat(Heartbeat heartbeat) {
        long now = mClock.millis();
        mMembership.onHeartbeat(heartbeat);
        mBlackboard
                .backends()
                .write(table -> heartbeat.ledgers().forEach(hint -> table.hint(hint, now)));
        mConfiguration.onPeerDigest(heartbeat.sender(), heartbeat.configurationDigest());
    }
}
