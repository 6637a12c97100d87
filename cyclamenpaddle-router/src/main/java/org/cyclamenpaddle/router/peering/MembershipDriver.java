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

/** Performs what {@link Membership} decides; the view of the hosts for everyone else. */
public final class MembershipDriver implements HostView {

    private final Table<Membership> mMembership;
    private final MembershipSettings mSettings;
    private final PeerTransport mTransport;
    private final Workers mWorkers;
    private final Clock mClock;
    private final EventLog mLog;
    private final Consumer<Incarnation> mSuperseded;
    private volatile Consumer<HostRecord> mChanged = host -> {};

    /**
     * Creates the driver.
     *
     * @param membership the state machine; reached only through this driver from now on
     * @param settings its timings
     * @param transport messages and new connections to peers
     * @param workers pool
     * @param clock time in milliseconds
     * @param log events
     * @param superseded told when a later life of this very host was heard of
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
     * Sets who is told at once of each change of a host's state or life.
     *
     * @param changed takes the host; must not block
     */
    public void onHostChanged(Consumer<HostRecord> changed) {
        mChanged = changed;
    }

    /** Sends what is due and follows suspicions. */
    public void tick() {
        act(membership -> membership.tick(mClock.millis()));
    }

    /** Takes a heartbeat. */
    public void onHeartbeat(Heartbeat heartbeat) {
        act(membership -> membership.onHeartbeat(heartbeat, mClock.millis()));
    }

    /** Takes a peer's wish that this host tries to reach another. */
    public void onProbeRequest(HostRecord asker, ProbeRequest ask) {
        act(membership -> membership.onProbeRequest(asker, ask, mClock.millis()));
    }

    /** Takes what a peer found. */
    public void onProbeResponse(ProbeResponse answer) {
        act(membership -> membership.onProbeResponse(answer, mClock.millis()));
    }

    /** Takes hosts that the platform's list or the settings name; a hint only. */
    public void onHint(List<HostRecord> hint) {
        act(membership -> membership.onHostList(hint, mClock.millis()));
    }

    /** Tells the fleet that this host is leaving. */
    public void leave() {
        act(Membership::onLeaving);
    }

    /** Returns what is known of a life of a host. */
    public IncarnationStatus standing(Incarnation incarnation) {
        return mMembership.read(membership -> membership.incarnationStatus(incarnation));
    }

    /** Returns whether some host's memory was lost within the span that ends now. */
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

    /** Returns what peers last told of their configuration. */
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

    private void act(Function<Membership, List<MembershipEffect>> event) {
        mMembership.read(event).forEach(this::perform);
    }

    private void perform(MembershipEffect effect) {
        if (effect instanceof MembershipEffect.SendTo send) {
            mTransport.send(send.to(), send.message());
        } else if (effect instanceof MembershipEffect.ProbeByNewConnection probe) {
            probe(probe.target());
        } else if (effect instanceof MembershipEffect.HostChanged changed) {
            log(changed.host());
            mChanged.accept(changed.host());
        } else if (effect instanceof MembershipEffect.Superseded superseded) {
            mSuperseded.accept(superseded.by());
        }
    }

    private void probe(HostRecord target) {
        mWorkers.onResult(
                mTransport.probe(target, mSettings.probeTimeoutMillis()),
                reachable ->
                        act(
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
