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
    private static final HostRecord HELPER = record("helper", "ahm", 1);
    private static final HostRecord FOREIGN = record("foreign", "mhs", 1);

    private Membership mMembership;
    private long mNow;
    private long mSequence;

    @BeforeMethod
    public void meetPeers() {
        mNow = 1_000;
        mSequence = 0;
        mMembership =
                new Membership(
                        SELF,
                        MembershipSettings.DEFAULTS,
                        new NoSource(),
                        RandomSource.XO_RO_SHI_RO_128_PP.create(1));
        mMembership.tick(mNow);
        hear(PEER);
        hear(HELPER);
    }

    @Test
    public void silenceAloneIsNoDeath() {
        // A peer's connection goes silent for good while the peer lives on: its heartbeats stop
        // here. The report on the new connection is late. Calling the peer dead before it would
        // cancel the streams of all its callers.
        fallSilent(2_000);

        assertEquals(state(PEER), HostState.SUSPECT);
        assertTrue(mMembership.alive().contains(mMembership.record(id(PEER)).get()));

        mMembership.onConnectionProbe(PEER.incarnation(), true, mNow);

        assertEquals(state(PEER), HostState.ALIVE);
    }

    @Test
    public void peerReachedByOthersIsNotDead() {
        // Only the way from this host to the peer is cut: heartbeats stop and the new connection
        // fails, but the helper gets through. The peer still serves its callers, so its attempts
        // must not be cancelled; this host just gives it no work.
        fallSilent(900);
        mMembership.onProbeResponse(new ProbeResponse(PEER.incarnation(), true), mNow);
        mMembership.onConnectionProbe(PEER.incarnation(), false, mNow);
        advance(2_000);

        assertEquals(state(PEER), HostState.SUSPECT);
        assertEquals(mMembership.incarnationStatus(PEER.incarnation()), IncarnationStatus.RUNNING);
        assertFalse(mMembership.alive().stream().anyMatch(h -> id(h).equals(id(PEER))));
    }

    @Test
    public void confirmedDeathIsTold() {
        fallSilent(900);
        mMembership.onProbeResponse(new ProbeResponse(PEER.incarnation(), false), mNow);

        List<MembershipEffect> effects =
                mMembership.onConnectionProbe(PEER.incarnation(), false, mNow);

        assertEquals(mMembership.incarnationStatus(PEER.incarnation()), IncarnationStatus.ENDED);
        assertTrue(mMembership.hostLostWithin(1_000, mNow));
        assertEquals(told(effects, HELPER), List.of(PEER.withState(HostState.DEAD)));
    }

    @Test
    public void ownPauseIsNotHeldAgainstPeers() {
        // This host is paused for five seconds in the middle of trying a suspect. On waking, the
        // expired timer of its own probe runs first and reports a failure, though the peer did
        // answer. Without forgiveness the peer would be dead at once.
        fallSilent(900);
        mNow += 5_000;

        mMembership.onConnectionProbe(PEER.incarnation(), false, mNow);
        mMembership.tick(mNow);

        assertFalse(state(PEER) == HostState.DEAD);
        assertEquals(state(HELPER), HostState.ALIVE);
    }

    @Test
    public void deathByHearsayIsTriedFirst() {
        // Another host lost sight of the peer and says that it is dead. This host has not heard
        // from the peer lately either, but reaches it. Believing the word would spread one host's
        // error to all, and cancel the peer's streams everywhere.
        advance(400);
        hear(HELPER, PEER.withState(HostState.DEAD));

        assertEquals(state(PEER), HostState.SUSPECT);
        mMembership.onConnectionProbe(PEER.incarnation(), true, mNow);
        assertEquals(state(PEER), HostState.ALIVE);
    }

    @Test
    public void delegateRelaysForeignDeathAtOnce() {
        // A host dies in this domain, and only a host of another domain noticed. Its word reaches
        // this delegate alone; the owners of the dead host's attempts sit elsewhere in this domain
        // and have to free the engines' memory within two seconds.
        hear(FOREIGN);
        advance(400);

        List<MembershipEffect> effects = hear(FOREIGN, PEER.withState(HostState.DEAD));

        assertEquals(told(effects, HELPER), List.of(PEER.withState(HostState.DEAD)));
        assertTrue(hear(FOREIGN, PEER.withState(HostState.DEAD)).isEmpty());
    }

    @Test
    public void refutesItsOwnDeath() {
        List<MembershipEffect> effects = hear(PEER, SELF.withState(HostState.DEAD));

        assertEquals(told(effects, PEER), List.of());
        assertEquals(effects.size(), 1);
    }

    @Test
    public void laterLifeSupersedes() {
        // A host is restarted faster than anyone notices. Attempts of its former life have no one
        // who stands for them, although heartbeats never stopped. A late heartbeat of the former
        // life must not bring it back.
        HostRecord later = record("peer", "ahm", 2);
        hear(later);
        hear(PEER);

        assertEquals(mMembership.incarnationStatus(PEER.incarnation()), IncarnationStatus.ENDED);
        assertEquals(mMembership.incarnationStatus(later.incarnation()), IncarnationStatus.RUNNING);
    }

    @Test
    public void lateHeartbeatDoesNotReviveTheDead() {
        // A heartbeat sent before the death arrives after it was confirmed, out of an old buffer.
        Heartbeat late = heartbeat(PEER, 1);
        fallSilent(900);
        mMembership.onProbeResponse(new ProbeResponse(PEER.incarnation(), false), mNow);
        mMembership.onConnectionProbe(PEER.incarnation(), false, mNow);

        mMembership.onHeartbeat(late, mNow);

        assertEquals(state(PEER), HostState.DEAD);
    }

    @Test
    public void leavingHostOwnsNothingAndStaysOnRecord() {
        hear(PEER.withState(HostState.LEAVING));

        assertEquals(state(PEER), HostState.LEAVING);
        assertEquals(mMembership.incarnationStatus(PEER.incarnation()), IncarnationStatus.RUNNING);
        assertEquals(mMembership.aliveIn(PEER.domain()), List.of(SELF, HELPER));
    }

    @Test
    public void triesForOthers() {
        ProbeRequest ask = new ProbeRequest(PEER);

        assertEquals(
                mMembership.onProbeRequest(HELPER, ask, mNow),
                List.of(new ProbeByNewConnection(PEER)));
        assertTrue(
                mMembership
                        .onConnectionProbe(PEER.incarnation(), false, mNow)
                        .contains(
                                new SendTo(HELPER, new ProbeResponse(PEER.incarnation(), false))));
    }

    private void fallSilent(long millis) {
        for (long passed = 0; passed < millis; passed += 50) {
            mNow += 50;
            hear(HELPER);
            mMembership.tick(mNow);
        }
    }

    private void advance(long millis) {
        for (long passed = 0; passed < millis; passed += 50) {
            mNow += 50;
            mMembership.tick(mNow);
        }
    }

    private List<MembershipEffect> hear(HostRecord sender, HostRecord... records) {
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

    private static List<HostRecord> told(List<MembershipEffect> effects, HostRecord to) {
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

    private static HostRecord record(String host, String domain, long life) {
        return new HostRecord(
                new Incarnation(new HostId(host), life),
                new FailureDomain(domain),
                "127.0.0.1",
                1,
                2,
                HostState.ALIVE);
    }

    private static final class NoSource implements HeartbeatSource {

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
