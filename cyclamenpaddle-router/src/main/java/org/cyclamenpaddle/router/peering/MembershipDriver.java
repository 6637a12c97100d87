package org.cyclamenpaddle.router.peering;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import org.cyclamenpaddle.core.config.BackendSpec;
import org.cyclamenpaddle.core.id.HostId;
import org.cyclamenpaddle.core.id.Incarnation;
import org.cyclamenpaddle.core.message.Heartbeat;
import org.cyclamenpaddle.core.message.HostRecord;
import org.cyclamenpaddle.core.message.ProbeRequest;
import org.cyclamenpaddle.core.message.ProbeResponse;
import org.cyclamenpaddle.core.table.Table;
import org.cyclamenpaddle.core.table.TableOrder;
import org.cyclamenpaddle.core.time.Clock;
import org.cyclamenpaddle.fleet.membership.IncarnationStatus;
import org.cyclamenpaddle.fleet.membership.Membership;
import org.cyclamenpaddle.fleet.membership.MembershipEffect;
import org.cyclamenpaddle.fleet.membership.MembershipSettings;
import org.cyclamenpaddle.fleet.membership.PeerDigest;
import org.cyclamenpaddle.fleet.ownership.Ownership;
import org.cyclamenpaddle.router.event.EventLog;
import org.cyclamenpaddle.router.event.LogEvent;
import org.cyclamenpaddle.router.grant.HostView;
import org.cyclamenpaddle.router.worker.Workers;

/**
 * Performs the effects of {@link Membership}, and provides the view of the hosts to other
 * components.
 */
public final class MembershipDriver implements HostView {

    private final Table<Membership> mMembership;
    private final MembershipSettings mSettings;
    private final PeerTransport mTransport;
    private final Workers mWorkers;
    private final Clock mClock;
    private final EventLog mLog;
    private final Consumer<Incarnation> mSuperseded;
    private volatile Consumer<HostRecord> mHostChanged = host -> {};

    /**
     * Creates the driver.
     *
     * @param membership the state machine; from now on accessed only through this driver
     * @param settings timings of membership
     * @param transport sends messages to peers and probes them over new connections
     * @param workers worker pool
     * @param clock time in milliseconds
     * @param log events
     * @param superseded notified when a later incarnation of this host is reported
     */
    public MembershipDriver(
            Membership membership,
            MembershipSettings settings,
            PeerTransport transport,
            Workers workers,
            Clock clock,
            EventLog log,
            Consumer<Incarnation> superseded) {
        mMembership = new Table<>(TableOrder.HOSTS, membership);
        mSettings = settings;
        mTransport = transport;
        mWorkers = workers;
        mClock = clock;
        mLog = log;
        mSuperseded = superseded;
    }

    /**
     * Sets the listener that is notified immediately of each change of a host's state or
     * incarnation.
     *
     * @param changed receives the host; must not block
     */
    public void onHostChanged(Consumer<HostRecord> changed) {
        mHostChanged = changed;
    }

    /** Sends due messages and updates suspicions. */
    public void tick() {
        handle(membership -> membership.tick(mClock.millis()));
    }

    /** Handles a heartbeat. */
    public void onHeartbeat(Heartbeat heartbeat) {
        handle(membership -> membership.onHeartbeat(heartbeat, mClock.millis()));
    }

    /** Handles a peer's request that this host probes another. */
    public void onProbeRequest(HostRecord requester, ProbeRequest request) {
        handle(membership -> membership.onProbeRequest(requester, request, mClock.millis()));
    }

    /** Handles the result of a peer's probe. */
    public void onProbeResponse(ProbeResponse response) {
        handle(membership -> membership.onProbeResponse(response, mClock.millis()));
    }

    /** Handles hosts named by the platform's list or the settings, which are only hints. */
    public void onHint(List<HostRecord> hint) {
        handle(membership -> membership.onHostList(hint, mClock.millis()));
    }

    /** Announces to the fleet that this host is leaving. */
    public void leave() {
        handle(Membership::onLeaving);
    }

    /** Returns the standing of a host's incarnation. */
    public IncarnationStatus standing(Incarnation incarnation) {
        return mMembership.read(membership -> membership.incarnationStatus(incarnation));
    }

    /**
     * Returns whether the in-memory state of any host was lost within the last {@code spanMillis}
     * milliseconds.
     */
    public boolean hostLostWithin(long spanMillis) {
        return mMembership.read(
                membership -> membership.hostLostWithin(spanMillis, mClock.millis()));
    }

    /** Returns every known host, this one included. */
    public List<HostRecord> hosts() {
        return mMembership.read(Membership::hosts);
    }

    /** Returns a host by name. */
    public Optional<HostRecord> record(HostId host) {
        return mMembership.read(membership -> membership.record(host));
    }

    /** Returns the configuration digests that peers last reported. */
    public Map<HostId, PeerDigest> peerDigests() {
        return mMembership.read(membership -> Map.copyOf(membership.peerDigests()));
    }

    @Override
    public HostRecord self() {
        return mMembership.read(Membership::self);
    }

    @Override
    public Collection<HostRecord> alive() {
        return mMembership.read(Membership::alive);
    }

    @Override
    public Optional<HostRecord> owner(BackendSpec backend) {
        return Ownership.owner(backend.id(), backend.failureDomain(), alive());
    }

    private void handle(Function<Membership, List<MembershipEffect>> event) {
        mMembership.read(event).forEach(this::perform);
    }

    private void perform(MembershipEffect effect) {
        if (effect instanceof MembershipEffect.SendTo send) {
            mTransport.send(send.to(), send.message());
        } else if (effect instanceof MembershipEffect.ProbeByNewConnection probe) {
            probe(probe.target());
        } else if (effect instanceof MembershipEffect.HostChanged changed) {
            log(changed.host());
            mHostChanged.accept(changed.host());
        } else if (effect instanceof MembershipEffect.Superseded superseded) {
            mSuperseded.accept(superseded.by());
        }
    }

    private void probe(HostRecord target) {
        mWorkers.onResult(
                mTransport.probe(target, mSettings.probeTimeoutMillis()),
                reachable ->
                        handle(
                                membership ->
                                        membership.onConnectionProbe(
                                                target.incarnation(), reachable, mClock.millis())));
    }

    private void log(HostRecord host) {
        HostId name = host.incarnation().host();
        switch (host.state()) {
            case ALIVE -> mLog.log(LogEvent.HOST_ALIVE, name, host.domain());
            case SUSPECT -> mLog.log(LogEvent.HOST_SUSPECT, name, mSettings.suspectAfterMillis());
            case LEAVING -> mLog.log(LogEvent.HOST_LEAVING, name);
            default -> mLog.log(LogEvent.HOST_DEAD, name, host.domain());
        }
    }
}
