package org.cyclamenpaddle.router.capacity;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.apache.commons.rng.simple.RandomSource;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.id.FailureDomain;
import org.cyclamenpaddle.core.id.HostId;
import org.cyclamenpaddle.core.id.Incarnation;
import org.cyclamenpaddle.core.message.Heartbeat;
import org.cyclamenpaddle.core.message.HostRecord;
import org.cyclamenpaddle.core.message.HostState;
import org.cyclamenpaddle.core.message.LedgerSummary;
import org.cyclamenpaddle.core.message.PeerMessage;
import org.cyclamenpaddle.fleet.membership.HeartbeatSource;
import org.cyclamenpaddle.fleet.membership.Membership;
import org.cyclamenpaddle.fleet.membership.MembershipEffect;
import org.cyclamenpaddle.fleet.membership.MembershipSettings;
import org.cyclamenpaddle.fleet.ownership.Ownership;
import org.cyclamenpaddle.peer.codec.Frame;
import org.cyclamenpaddle.peer.codec.FrameCodec;

/**
 * Measures the cost of membership and ownership per host as the fleet grows; the documented
 * capacity figures come from it.
 *
 * <p>The product's membership code and frame codec run on a virtual clock with all hosts in this
 * process, so the processor time is that of the state machines alone, without sockets.
 */
public final class CapacityMeasurement {

    private static final int[] FLEETS = {6, 60, 200, 410};
    private static final int DOMAINS = 6;
    private static final double LEDGERS_PER_HOST = 770.0 / 410;
    private static final long RUN_MILLIS = 20_000;
    private static final long SETTLE_MILLIS = 10_000;
    private static final int OWNER_CALLS = 200_000;
    private static final FrameCodec CODEC = new FrameCodec();

    private record Delivery(long at, long order, int to, PeerMessage message) {}

    private CapacityMeasurement() {}

    /** Prints one line for each size of fleet. */
    public static void main(String[] args) {
        new Run(60).measure();
        System.out.println("hosts  heartbeats/s  bytes out/s  us cpu/s  % of a core");
        for (int hosts : FLEETS) {
            System.out.println(new Run(hosts).measure());
        }
        for (int hosts : FLEETS) {
            owner(hosts);
        }
    }

    private static void owner(int hosts) {
        List<HostRecord> alive =
                IntStream.range(0, hosts)
                        .mapToObj(CapacityMeasurement::host)
                        .collect(Collectors.toList());
        long sum = 0;
        for (int round = 0; round < 2; round++) {
            long start = System.nanoTime();
            for (int i = 0; i < OWNER_CALLS / hosts; i++) {
                sum += owner(alive, i).incarnation().number();
            }
            double micros = (System.nanoTime() - start) / 1_000.0 / (OWNER_CALLS / hosts);
            if (round == 1) {
                System.out.printf(
                        "owner of one backend server, %d hosts: %.1f us%n", hosts, micros);
            }
        }
        if (sum == 0) {
            throw new AssertionError("no owner");
        }
    }

    private static HostRecord owner(Collection<HostRecord> alive, int backend) {
        return Ownership.owner(
                        new BackendId("b" + backend),
                        new FailureDomain("domain-" + backend % DOMAINS),
                        alive)
                .orElseThrow();
    }

    private static HostRecord host(int number) {
        return new HostRecord(
                new Incarnation(new HostId("host-" + number), 1_700_000_000_000L + number),
                new FailureDomain("domain-" + number % DOMAINS),
                "10.0.0." + number % 250,
                7_201,
                7_101,
                HostState.ALIVE);
    }

    /** Simulation of one fleet in virtual time. */
    private static final class Run {

        private final List<Membership> mHosts = new ArrayList<>();
        private final PriorityQueue<Delivery> mDeliveries =
                new PriorityQueue<>(
                        Comparator.comparingLong(Delivery::at).thenComparingLong(Delivery::order));
        private long mOrder;
        private long mHeartbeats;
        private long mBytes;
        private boolean mCounting;

        Run(int hosts) {
            IntStream.range(0, hosts).forEach(i -> mHosts.add(membership(i)));
            List<HostRecord> all =
                    IntStream.range(0, hosts)
                            .mapToObj(CapacityMeasurement::host)
                            .collect(Collectors.toList());
            for (int i = 0; i < hosts; i++) {
                perform(i, mHosts.get(i).onHostList(all, 0), 0);
            }
        }

        private static Membership membership(int number) {
            List<LedgerSummary> ledgers =
                    IntStream.range(0, (int) Math.round((number + 1) * LEDGERS_PER_HOST))
                            .skip(Math.round(number * LEDGERS_PER_HOST))
                            .mapToObj(
                                    i ->
                                            new LedgerSummary(
                                                    new BackendId("b" + i), 120, 3, 40, true))
                            .collect(Collectors.toList());
            return new Membership(
                    host(number),
                    MembershipSettings.DEFAULTS,
                    new Contents(ledgers),
                    RandomSource.XO_RO_SHI_RO_128_PP.create(number + 1L));
        }

        String measure() {
            run(0, SETTLE_MILLIS);
            mCounting = true;
            long start = System.nanoTime();
            run(SETTLE_MILLIS, SETTLE_MILLIS + RUN_MILLIS);
            double cpuNanos = System.nanoTime() - start;
            double hostSeconds = mHosts.size() * RUN_MILLIS / 1_000.0;
            double micros = cpuNanos / 1_000 / hostSeconds;
            return String.format(
                    "%5d  %12.1f  %11.0f  %8.0f  %11.3f",
                    mHosts.size(),
                    mHeartbeats / hostSeconds,
                    mBytes / hostSeconds,
                    micros,
                    micros / 10_000);
        }

        private void run(long from, long until) {
            long tick = MembershipSettings.DEFAULTS.tickMillis();
            for (long now = from; now < until; now += tick) {
                deliver(now);
                for (int i = 0; i < mHosts.size(); i++) {
                    perform(i, mHosts.get(i).tick(now), now);
                }
            }
        }

        private void deliver(long now) {
            while (!mDeliveries.isEmpty() && mDeliveries.peek().at() <= now) {
                Delivery next = mDeliveries.poll();
                if (next.message() instanceof Heartbeat heartbeat) {
                    perform(next.to(), mHosts.get(next.to()).onHeartbeat(heartbeat, now), now);
                }
            }
        }

        private void perform(int from, List<MembershipEffect> effects, long now) {
            for (MembershipEffect effect : effects) {
                if (effect instanceof MembershipEffect.SendTo send) {
                    send(send, now);
                } else if (effect instanceof MembershipEffect.ProbeByNewConnection probe) {
                    perform(
                            from,
                            mHosts.get(from)
                                    .onConnectionProbe(probe.target().incarnation(), true, now),
                            now);
                }
            }
        }

        private void send(MembershipEffect.SendTo send, long now) {
            if (mCounting) {
                mHeartbeats++;
                mBytes += CODEC.encode(new Frame(0, send.message())).get().length;
            }
            String name = send.to().incarnation().host().value();
            int to = Integer.parseInt(name.substring("host-".length()));
            mDeliveries.add(new Delivery(now + 1, mOrder++, to, send.message()));
        }
    }

    private record Contents(List<LedgerSummary> ledgers) implements HeartbeatSource {

        @Override
        public long configurationDigest() {
            return 0x1234_5678_9abc_def0L;
        }

        @Override
        public long inForceVersion() {
            return 1_000_000L;
        }
    }
}
