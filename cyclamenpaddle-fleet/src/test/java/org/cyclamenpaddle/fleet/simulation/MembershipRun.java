package org.cyclamenpaddle.fleet.simulation;

import static org.cyclamenpaddle.core.invariant.Invariants.require;

import java.util.List;
import java.util.stream.Collectors;
import org.cyclamenpaddle.core.message.HostState;
import org.cyclamenpaddle.fleet.simulation.MembershipFleet.Host;

/**
 * Simulation of random faults in a fleet, one or two per round; after each round the faults are
 * healed and the views are checked.
 *
 * <p>Invariants: after healing every live host considers every other host alive and every killed
 * incarnation ended; a killed host is considered dead by all hosts within {@value
 * #DETECTION_MILLIS} ms if nothing else fails; a host paused for less than {@value
 * #HARMLESS_PAUSE_MILLIS} ms is never considered dead.
 */
final class MembershipRun {

    static final long DETECTION_MILLIS = 1_700;
    static final long HARMLESS_PAUSE_MILLIS = 550;
    private static final long SETTLE_MILLIS = 20_000;

    private final MembershipFleet mFleet;

    MembershipRun(int hosts, int domains, long seed) {
        mFleet = new MembershipFleet(hosts, domains, seed);
        mFleet.mQueue.runFor(SETTLE_MILLIS);
        checkConverged("at the start");
    }

    void rounds(int rounds) {
        for (int i = 0; i < rounds; i++) {
            Fault fault = Fault.values()[mFleet.mRandom.nextInt(Fault.values().length)];
            round(fault);
        }
    }

    void round(Fault fault) {
        fault.inject(this);
        heal();
        mFleet.mQueue.runFor(SETTLE_MILLIS);
        checkConverged("after " + fault);
    }

    void kill(boolean machine) {
        Host victim = anyHost();
        victim.mUp = false;
        victim.mMachineDown = machine;
        List<Host> others = mFleet.up();
        long killed = mFleet.mQueue.now();
        while (others.stream().anyMatch(host -> host.view(victim) != HostState.DEAD)) {
            mFleet.mQueue.runFor(10);
            long passed = mFleet.mQueue.now() - killed;
            require(
                    passed <= DETECTION_MILLIS,
                    () -> victim.mRecord + " not detected, milliseconds passed: " + passed);
        }
    }

    private Host anyHost() {
        List<Host> up = mFleet.up();
        return up.get(mFleet.mRandom.nextInt(up.size()));
    }

    private void heal() {
        mFleet.mConnected = (a, b) -> true;
        mFleet.mLossRate = 0;
        List<Host> down =
                mFleet.mHosts.values().stream().filter(h -> !h.mUp).collect(Collectors.toList());
        down.forEach(mFleet::restart);
    }

    private void checkConverged(String after) {
        for (Host a : mFleet.up()) {
            for (Host b : mFleet.up()) {
                require(
                        a.view(b) == HostState.ALIVE,
                        () -> a.mRecord + " sees " + b.mRecord + " as " + a.view(b) + " " + after);
            }
        }
    }

    /** Fault injected in a round. */
    enum Fault {
        PROCESS_KILLED {
            @Override
            void inject(MembershipRun run) {
                run.kill(false);
            }
        },
        MACHINE_DOWN {
            @Override
            void inject(MembershipRun run) {
                run.kill(true);
            }
        },
        RESTART {
            @Override
            void inject(MembershipRun run) {
                run.mFleet.restart(run.anyHost());
                run.mFleet.restart(run.anyHost());
            }
        },
        SHORT_PAUSE {
            @Override
            void inject(MembershipRun run) {
                Host host = run.anyHost();
                MembershipFleet fleet = run.mFleet;
                host.mPausedUntilMillis = fleet.mQueue.now() + HARMLESS_PAUSE_MILLIS;
                for (int i = 0; i < 200; i++) {
                    fleet.mQueue.runFor(10);
                    for (Host other : fleet.up()) {
                        require(
                                other.view(host) != HostState.DEAD
                                        && host.view(other) != HostState.DEAD,
                                () ->
                                        "pause of "
                                                + host.mRecord
                                                + " led to a false detection of a death");
                    }
                }
            }
        },
        LONG_PAUSE {
            @Override
            void inject(MembershipRun run) {
                Host host = run.anyHost();
                MembershipFleet fleet = run.mFleet;
                host.mPausedUntilMillis =
                        fleet.mQueue.now() + 2_000 + fleet.mRandom.nextInt(30_000);
                fleet.mQueue.runFor(host.mPausedUntilMillis - fleet.mQueue.now() + 200);
                for (Host other : fleet.up()) {
                    require(
                            host.view(other) != HostState.DEAD,
                            () ->
                                    host.mRecord
                                            + " resumed and declared "
                                            + other.mRecord
                                            + " dead");
                }
            }
        },
        PARTITION {
            @Override
            void inject(MembershipRun run) {
                int cut = run.mFleet.mRandom.nextInt(2);
                run.mFleet.mConnected =
                        (a, b) ->
                                a.domain().value().endsWith(Integer.toString(cut))
                                        == b.domain().value().endsWith(Integer.toString(cut));
                run.mFleet.mQueue.runFor(5_000);
                for (Host a : run.mFleet.up()) {
                    for (Host b : run.mFleet.up()) {
                        boolean together = run.mFleet.mConnected.test(a.mRecord, b.mRecord);
                        require(
                                together == (a.view(b) != HostState.DEAD),
                                () -> a.mRecord + " sees " + b.mRecord + " as " + a.view(b));
                    }
                }
            }
        },
        LINK_CUT {
            @Override
            void inject(MembershipRun run) {
                Host one = run.anyHost();
                Host two = run.anyHost();
                run.mFleet.mConnected =
                        (a, b) ->
                                !(a.incarnation().equals(one.mRecord.incarnation())
                                        && b.incarnation().equals(two.mRecord.incarnation()));
                run.mFleet.mQueue.runFor(10_000);
                require(
                        one.view(two) != HostState.DEAD && two.view(one) != HostState.DEAD,
                        () -> "cut link led to a false detection of the death of " + two.mRecord);
            }
        },
        LOSS {
            @Override
            void inject(MembershipRun run) {
                run.mFleet.mLossRate = 0.3;
                run.mFleet.mQueue.runFor(10_000);
                Host victim = run.anyHost();
                run.mFleet.restart(victim);
                run.mFleet.mQueue.runFor(5_000);
            }
        };

        abstract void inject(MembershipRun run);
    }
}
