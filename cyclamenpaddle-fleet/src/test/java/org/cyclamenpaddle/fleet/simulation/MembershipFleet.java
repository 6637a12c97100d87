package org.cyclamenpaddle.fleet.simulation;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiPredicate;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.cyclamenpaddle.core.id.FailureDomain;
import org.cyclamenpaddle.core.id.HostId;
import org.cyclamenpaddle.core.id.Incarnation;
import org.cyclamenpaddle.core.message.Heartbeat;
import org.cyclamenpaddle.core.message.HostRecord;
import org.cyclamenpaddle.core.message.HostState;
import org.cyclamenpaddle.core.message.LedgerSummary;
import org.cyclamenpaddle.core.message.PeerMessage;
import org.cyclamenpaddle.core.message.ProbeRequest;
import org.cyclamenpaddle.core.message.ProbeResponse;
import org.cyclamenpaddle.fleet.membership.HeartbeatSource;
import org.cyclamenpaddle.fleet.membership.Membership;
import org.cyclamenpaddle.fleet.membership.MembershipEffect;
import org.cyclamenpaddle.fleet.membership.MembershipSettings;

/** Memberships of many hosts over a fake network, in virtual time. */
final class MembershipFleet {

    private static final long TICK = MembershipSettings.DEFAULTS.tickMillis();
    private static final long PROBE = MembershipSettings.DEFAULTS.probeTimeoutMillis();

    final EventQueue mQueue = new EventQueue();
    final UniformRandomProvider mRandom;
    final Map<HostId, Host> mHosts = new LinkedHashMap<>();
    BiPredicate<HostRecord, HostRecord> mConnected = (a, b) -> true;
    double mLoss;
    long mMessages;
    long mBytes;
    long mNanos;

    MembershipFleet(int hosts, int domains, long seed) {
        mRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        List<HostRecord> records = new ArrayList<>();
        for (int i = 0; i < hosts; i++) {
            records.add(record("host-" + i, "domain-" + i % domains, 1));
        }
        records.forEach(this::start);
    }

    static HostRecord record(String host, String domain, long life) {
        Incarnation incarnation = new Incarnation(new HostId(host), life);
        return new HostRecord(
                incarnation, new FailureDomain(domain), "127.0.0.1", 1, 2, HostState.ALIVE);
    }

    Host host(int index) {
        return mHosts.get(new HostId("host-" + index));
    }

    List<Host> up() {
        return mHosts.values().stream().filter(h -> h.mUp).collect(Collectors.toList());
    }

    void start(HostRecord record) {
        Host host = new Host(record);
        mHosts.put(record.incarnation().host(), host);
        List<HostRecord> seeds =
                mHosts.values().stream().map(h -> h.mRecord).limit(3).collect(Collectors.toList());
        host.handle(() -> host.mMembership.onHostList(seeds, mQueue.now()));
        host.tickAfter(1 + mRandom.nextInt((int) TICK));
    }

    void restart(Host host) {
        Incarnation old = host.mRecord.incarnation();
        host.mUp = false;
        start(record(old.host().value(), host.mRecord.domain().value(), old.number() + 1));
    }

    private boolean connected(HostRecord a, HostRecord b) {
        return mConnected.test(a, b) && mConnected.test(b, a);
    }

    /** One process, in one life. */
    final class Host implements HeartbeatSource {

        final HostRecord mRecord;
        final Membership mMembership;
        boolean mUp = true;
        boolean mMachineDown;
        long mPausedUntil;
        long mDigest;

        Host(HostRecord record) {
            mRecord = record;
            mMembership = new Membership(record, MembershipSettings.DEFAULTS, this, mRandom);
        }

        HostState view(Host other) {
            Optional<HostRecord> known =
                    mMembership
                            .record(other.mRecord.incarnation().host())
                            .filter(r -> r.incarnation().equals(other.mRecord.incarnation()));
            return known.map(HostRecord::state).orElse(HostState.DEAD);
        }

        void handle(Supplier<List<MembershipEffect>> event) {
            if (!mUp) {
                return;
            }
            if (mPausedUntil > mQueue.now()) {
                mQueue.after(mPausedUntil - mQueue.now(), () -> handle(event));
                return;
            }
            long start = System.nanoTime();
            List<MembershipEffect> effects = event.get();
            mNanos += System.nanoTime() - start;
            effects.forEach(this::apply);
        }

        private void tickAfter(long millis) {
            mQueue.after(
                    Math.max(millis, mPausedUntil - mQueue.now()),
                    () -> {
                        if (mUp) {
                            handle(() -> mMembership.tick(mQueue.now()));
                            tickAfter(TICK);
                        }
                    });
        }

        private void apply(MembershipEffect effect) {
            if (effect instanceof MembershipEffect.SendTo send) {
                send(send.to(), send.message());
            } else if (effect instanceof MembershipEffect.ProbeByNewConnection probe) {
                probe(probe.target());
            }
        }

        private void send(HostRecord to, PeerMessage message) {
            mMessages++;
            mBytes += MessageSize.of(message);
            boolean lost = mRandom.nextDouble() < mLoss || !connected(mRecord, to);
            if (!lost) {
                mQueue.after(
                        1 + mRandom.nextInt(3),
                        () -> {
                            Host host = mHosts.get(to.incarnation().host());
                            host.handle(() -> host.receive(mRecord, message));
                        });
            }
        }

        private List<MembershipEffect> receive(HostRecord from, PeerMessage message) {
            if (message instanceof Heartbeat heartbeat) {
                mDigest = Math.max(mDigest, heartbeat.configurationDigest());
                return mMembership.onHeartbeat(heartbeat, mQueue.now());
            }
            if (message instanceof ProbeRequest ask) {
                return mMembership.onProbeRequest(from, ask, mQueue.now());
            }
            return mMembership.onProbeResponse((ProbeResponse) message, mQueue.now());
        }

        private void probe(HostRecord target) {
            Host host = mHosts.get(target.incarnation().host());
            boolean same = host.mRecord.incarnation().equals(target.incarnation());
            boolean refused = (!host.mUp && !host.mMachineDown) || !same;
            boolean path = connected(mRecord, target);
            long wakes = Math.max(0, host.mPausedUntil - mQueue.now());
            boolean answers = path && host.mUp && same && wakes + 2 < PROBE;
            long takes = answers ? wakes + 2 : path && refused ? 2 : PROBE;
            mQueue.after(
                    takes,
                    () ->
                            handle(
                                    () ->
                                            mMembership.onConnectionProbe(
                                                    target.incarnation(), answers, mQueue.now())));
        }

        @Override
        public long configurationDigest() {
            return mDigest;
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
