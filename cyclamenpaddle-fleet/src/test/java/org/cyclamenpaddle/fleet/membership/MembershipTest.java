package org.cyclamenpaddle.fleet.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.stream.Collectors;
import org.apache.commons.rng.simple.RandomSource;
import org.cyclamenpaddle.core.id.FailureDomain;
import org.cyclamenpaddle.core.id.HostId;
import org.cyclamenpaddle.core.id.Incarnation;
import org.cyclamenpaddle.core.message.Heartbeat;
import org.cyclamenpaddle.core.message.HostRecord;
import org.cyclamenpaddle.core.message.HostState;
import org.cyclamenpaddle.core.message.LedgerSummary;
import org.cyclamenpaddle.core.message.ProbeRequest;
import org.cyclamenpaddle.core.message.ProbeResponse;
import org.cyclamenpaddle.fleet.membership.MembershipEffect.ProbeByNewConnection;
import org.cyclamenpaddle.fleet.membership.MembershipEffect.SendTo;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class MembershipTest {

    private static final HostRecord SELF = record("self", "ahm", 1);
    private static final HostRecord PEER = record("peer", "ahm", 1);
    private static final HostRecord PROXY = record("helper", "ahm", 1);
    private static final HostRecord OTHER_DOMAIN_PEER = record("foreign", "mhs", 1);

    private Membership mMembership;
    private long mNow;
    private long mSequence;

    @BeforeMethod
    public void joinPeers() {
        mNow = 1_000;
        mSequence = 0;
        mMembership =
                new Membership(
                        SELF,
                        MembershipSettings.DEFAULTS,
                        new EmptyHeartbeatSource(),
                        RandomSource.XO_RO_SHI_RO_128_PP.create(1));
        mMembership.tick(mNow);
        heartbeatFrom(PEER);
        heartbeatFrom(PROXY);
    }

    @Test
    public void silentHostIsOnlySuspected() {
        // A peer's connection goes permanently silent while the peer is alive, and the result of
        // the direct probe is late. Declaring the peer dead before that result would cancel the
        // streams of all its callers.
        fallSilent(2_000);

        assertEquals(state(PEER), HostState.SUSPECT);
        assertTrue(mMembership.alive().contains(mMembership.record(id(PEER)).get()));

        mMembership.onConnectionProbe(PEER.incarnation(), true, mNow);

        assertEquals(state(PEER), HostState.ALIVE);
    }

    @Test
    public void peerReachedByIndirectProbeIsNotDead() {
        // Only the path from this host to the peer is cut: heartbeats stop and the direct probe
        // fails, but the indirect probe succeeds. The peer still serves its callers, so its
        // attempts must not be cancelled; this host only stops sending it work.
        fallSilent(900);
        mMembership.onProbeResponse(new ProbeResponse(PEER.incarnation(), true), mNow);
        mMembership.onConnectionProbe(PEER.incarnation(), false, mNow);
        advance(2_000);

        assertEquals(state(PEER), HostState.SUSPECT);
        assertEquals(mMembership.incarnationStatus(PEER.incarnation()), IncarnationStatus.RUNNING);
        assertFalse(mMembership.alive().stream().anyMatch(h -> id(h).equals(id(PEER))));
    }

    @Test
    public void confirmedDeathIsNotified() {
        fallSilent(900);
        mMembership.onProbeResponse(new ProbeResponse(PEER.incarnation(), false), mNow);

        List<MembershipEffect> effects =
                mMembership.onConnectionProbe(PEER.incarnation(), false, mNow);

        assertEquals(mMembership.incarnationStatus(PEER.incarnation()), IncarnationStatus.ENDED);
        assertTrue(mMembership.hostLostWithin(1_000, mNow));
        assertEquals(recordsSentTo(effects, PROXY), List.of(PEER.withState(HostState.DEAD)));
    }

    @Test
    public void ownPauseDoesNotCountAsSilenceOfPeers() {
        // This host is paused for five seconds while it probes a suspect. On resuming, the expired
        // timer of its direct probe runs first and reports a failure, although the peer did
        // respond. Without compensation the peer would be declared dead immediately.
        fallSilent(900);
        mNow += 5_000;

        mMembership.onConnectionProbe(PEER.incarnation(), false, mNow);
        mMembership.tick(mNow);

        assertFalse(state(PEER) == HostState.DEAD);
        assertEquals(state(PROXY), HostState.ALIVE);
    }

    @Test
    public void reportedDeathIsProbedFirst() {
        // Another host cannot reach the peer and reports it dead. This host has not heard from the
        // peer recently either, but can reach it. Accepting the report would spread one host's
        // error to all hosts and cancel the peer's streams everywhere.
        advance(400);
        heartbeatFrom(PROXY, PEER.withState(HostState.DEAD));

        assertEquals(state(PEER), HostState.SUSPECT);
        mMembership.onConnectionProbe(PEER.incarnation(), true, mNow);
        assertEquals(state(PEER), HostState.ALIVE);
    }

    @Test
    public void delegateRelaysDeathFromOtherDomainImmediately() {
        // A host of this domain fails, and only a host of another domain detects it. Its death
        // notice reaches only this delegate; the owners of the dead host's attempts are other hosts
        // of this domain and must free the engines' memory within two seconds.
        heartbeatFrom(OTHER_DOMAIN_PEER);
        advance(400);

        List<MembershipEffect> effects =
                heartbeatFrom(OTHER_DOMAIN_PEER, PEER.withState(HostState.DEAD));

        assertEquals(recordsSentTo(effects, PROXY), List.of(PEER.withState(HostState.DEAD)));
        assertTrue(heartbeatFrom(OTHER_DOMAIN_PEER, PEER.withState(HostState.DEAD)).isEmpty());
    }

    @Test
    public void refutesItsOwnDeath() {
        List<MembershipEffect> effects = heartbeatFrom(PEER, SELF.withState(HostState.DEAD));

        assertEquals(recordsSentTo(effects, PEER), List.of());
        assertEquals(effects.size(), 1);
    }

    @Test
    public void laterIncarnationSupersedes() {
        // A host restarts before its failure is detected. Attempts of its former incarnation are
        // orphaned, although heartbeats never stopped. A late heartbeat of the former incarnation
        // must not revive it.
        HostRecord later = record("peer", "ahm", 2);
        heartbeatFrom(later);
        heartbeatFrom(PEER);

        assertEquals(mMembership.incarnationStatus(PEER.incarnation()), IncarnationStatus.ENDED);
        assertEquals(mMembership.incarnationStatus(later.incarnation()), IncarnationStatus.RUNNING);
    }

    @Test
    public void lateHeartbeatDoesNotReviveTheDead() {
        // A heartbeat that was sent before the death and buffered arrives after the death was
        // confirmed.
        Heartbeat late = heartbeat(PEER, 1);
        fallSilent(900);
        mMembership.onProbeResponse(new ProbeResponse(PEER.incarnation(), false), mNow);
        mMembership.onConnectionProbe(PEER.incarnation(), false, mNow);

        mMembership.onHeartbeat(late, mNow);

        assertEquals(state(PEER), HostState.DEAD);
    }

    @Test
    public void leavingHostOwnsNothingAndStaysOnRecord() {
        heartbeatFrom(PEER.withState(HostState.LEAVING));

        assertEquals(state(PEER), HostState.LEAVING);
        assertEquals(mMembership.incarnationStatus(PEER.incarnation()), IncarnationStatus.RUNNING);
        assertEquals(mMembership.aliveIn(PEER.domain()), List.of(SELF, PROXY));
    }

    @Test
    public void probesOnRequest() {
        ProbeRequest request = new ProbeRequest(PEER);

        assertEquals(
                mMembership.onProbeRequest(PROXY, request, mNow),
                List.of(new ProbeByNewConnection(PEER)));
        assertTrue(
                mMembership
                        .onConnectionProbe(PEER.incarnation(), false, mNow)
                        .contains(new SendTo(PROXY, new ProbeResponse(PEER.incarnation(), false))));
    }

    private void fallSilent(long millis) {
        for (long passed = 0; passed < millis; passed += 50) {
            mNow += 50;
            heartbeatFrom(PROXY);
            mMembership.tick(mNow);
        }
    }

    private void advance(long millis) {
        for (long passed = 0; passed < millis; passed += 50) {
            mNow += 50;
            mMembership.tick(mNow);
        }
    }

    private List<MembershipEffect> heartbeatFrom(HostRecord sender, HostRecord... records) {
        mSequence++;
        Heartbeat heartbeat = new Heartbeat(sender, mSequence, 0, 0, List.of(records), List.of());
        return mMembership.onHeartbeat(heartbeat, mNow);
    }

    private static Heartbeat heartbeat(HostRecord sender, long sequence) {
        return new Heartbeat(sender, sequence, 0, 0, List.of(), List.of());
    }

    private HostState state(HostRecord host) {
        return mMembership.record(id(host)).orElseThrow().state();
    }

    private static List<HostRecord> recordsSentTo(List<MembershipEffect> effects, HostRecord to) {
        return effects.stream()
                .filter(SendTo.class::isInstance)
                .map(SendTo.class::cast)
                .filter(send -> id(send.to()).equals(id(to)))
                .filter(send -> send.message() instanceof Heartbeat)
                .flatMap(send -> ((Heartbeat) send.message()).hosts().stream())
                .collect(Collectors.toList());
    }

    private static HostId id(HostRecord record) {
        return record.incarnation().host();
    }

    private static HostRecord record(String host, String domain, long incarnation) {
        return new HostRecord(
                new Incarnation(new HostId(host), incarnation),
                new FailureDomain(domain),
                "127.0.0.1",
                1,
                2,
                HostState.ALIVE);
    }

    private static final class EmptyHeartbeatSource implements HeartbeatSource {

        @Override
        public long configurationDigest() {
            return 0;
        }

        @Override
        public long inForceVersion() {
            return 0;
        }

        @Override
        public List<LedgerSummary> ledgers() {
            return List.of();
        }
    }
}
