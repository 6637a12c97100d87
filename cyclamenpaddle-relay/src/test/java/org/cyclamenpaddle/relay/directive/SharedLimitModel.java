package org.cyclamenpaddle.relay.directive;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.cyclamenpaddle.routing.limit.CallPermits;

/** Hosts in virtual time that all have requests for one limited server, with uneven demand. */
final class SharedLimitModel {

    /** How hosts share the limit. */
    enum Sharing {
        /** Each host has a token bucket with an equal part of the rate and room for one call. */
        EQUAL_PARTS {
            @Override
            Host host(int index, Scenario scenario, Owners owners, UniformRandomProvider random) {
                CallPermits own = new CallPermits(0);
                double part = scenario.perSecond() / scenario.hosts();
                return millis -> own.take(1, part, true, millis).granted();
            }
        },
        /** One host owns the limit and permits the calls of all hosts. */
        PERMITS {
            @Override
            Host host(int index, Scenario scenario, Owners owners, UniformRandomProvider random) {
                CallLimit limit = new CallLimit(scenario.perSecond());
                boolean asksDeputy = index < scenario.hosts() * scenario.deputyShare();
                return millis -> {
                    if (!limit.permits(1, millis) && limit.beginRequest(millis)) {
                        CallPermits.Result result =
                                owners.of(asksDeputy)
                                        .take(1, scenario.perSecond(), !asksDeputy, millis);
                        if (result.granted()) {
                            limit.recordGranted(1, millis);
                        } else {
                            limit.recordDenied(result.retryMillis(), millis);
                        }
                        if (random.nextBoolean()) {
                            // Requested in advance: the permit is for a later request.
                            return false;
                        }
                    }
                    return limit.tryUse(1, millis);
                };
            }
        };

        abstract Host host(
                int index, Scenario scenario, Owners owners, UniformRandomProvider random);
    }

    /** Decides about a call of one host at a time of the model. */
    interface Host {
        boolean tryCall(long millis);
    }

    /**
     * Load and faults of one run.
     *
     * @param hosts number of hosts
     * @param perSecond limit of the server
     * @param restarts number of restarts of the owner, and of as many other hosts
     * @param deputyShare share of the hosts that ask a deputy while the owner lends as well
     * @param seed seed of the run
     */
    record Scenario(int hosts, double perSecond, int restarts, double deputyShare, long seed) {}

    /**
     * Result of a run.
     *
     * @param most greatest number of calls within the window in which the limit is judged
     * @param usedShare calls as a share of what the limit allows over the whole run
     */
    record Result(int most, double usedShare) {}

    /** Hosts that lend from the limit. */
    private static final class Owners {

        private CallPermits mOwner = new CallPermits(0);
        private CallPermits mDeputy = new CallPermits(0);

        private CallPermits of(boolean deputy) {
            return deputy ? mDeputy : mOwner;
        }

        private void restart(long millis) {
            mOwner = CallPermits.ofHostStartedAt(millis);
        }

        private void restartDeputy(long millis) {
            mDeputy = CallPermits.ofHostStartedAt(millis);
        }
    }

    private record Arrival(long millis, int host) {}

    static final long WINDOW_MILLIS = 4_000;

    private static final long RUN_MILLIS = 120_000;

    /** Requests of all hosts together, as a multiple of the limit. */
    private static final double DEMAND_FACTOR = 4;

    private SharedLimitModel() {}

    /** Returns the number of calls that the limit allows within the window. */
    static int allowed(double perSecond) {
        return (int) (perSecond * WINDOW_MILLIS / 1_000 * 1.5 + 5);
    }

    static Result run(Sharing sharing, Scenario scenario) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(scenario.seed());
        Owners owners = new Owners();
        List<Host> hosts = new ArrayList<>();
        for (int index = 0; index < scenario.hosts(); index++) {
            hosts.add(sharing.host(index, scenario, owners, random));
        }
        List<Long> calls = new ArrayList<>();
        long restartMillis = RUN_MILLIS / (scenario.restarts() + 1);
        long nextRestart = restartMillis;
        for (Arrival arrival : arrivals(scenario, random)) {
            if (arrival.millis() >= nextRestart) {
                nextRestart += restartMillis;
                owners.restart(arrival.millis());
                if (scenario.deputyShare() > 0) {
                    owners.restartDeputy(arrival.millis());
                }
                int host = random.nextInt(hosts.size());
                hosts.set(host, sharing.host(host, scenario, owners, random));
            }
            if (hosts.get(arrival.host()).tryCall(arrival.millis())) {
                calls.add(arrival.millis());
            }
        }
        double full = scenario.perSecond() * RUN_MILLIS / 1_000;
        return new Result(most(calls), calls.size() / full);
    }

    private static List<Arrival> arrivals(Scenario scenario, UniformRandomProvider random) {
        double[] weights =
                IntStream.range(0, scenario.hosts())
                        .mapToDouble(i -> exponential(random))
                        .toArray();
        double total = IntStream.range(0, weights.length).mapToDouble(i -> weights[i]).sum();
        double perMilli = scenario.perSecond() * DEMAND_FACTOR / 1_000;
        List<Arrival> arrivals = new ArrayList<>();
        for (int host = 0; host < weights.length; host++) {
            double mean = total / (weights[host] * perMilli);
            double at = exponential(random) * mean;
            while (at < RUN_MILLIS) {
                arrivals.add(new Arrival((long) at, host));
                at += exponential(random) * mean;
            }
        }
        arrivals.sort(Comparator.comparingLong(Arrival::millis));
        return arrivals;
    }

    private static int most(List<Long> calls) {
        int most = 0;
        int first = 0;
        for (int last = 0; last < calls.size(); last++) {
            while (calls.get(last) - calls.get(first) >= WINDOW_MILLIS) {
                first++;
            }
            most = Math.max(most, last - first + 1);
        }
        return most;
    }

    private static double exponential(UniformRandomProvider random) {
        return -Math.log(1 - random.nextDouble());
    }
}
