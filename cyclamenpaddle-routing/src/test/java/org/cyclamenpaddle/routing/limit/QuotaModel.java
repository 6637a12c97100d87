package org.cyclamenpaddle.routing.limit;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.cyclamenpaddle.core.id.HostId;
import org.cyclamenpaddle.core.id.TeamName;
import org.cyclamenpaddle.core.message.QuotaRequest;
import org.cyclamenpaddle.core.message.QuotaResponse;

/**
 * Fleet of hosts in virtual time that shares one team's quota.
 *
 * <p>The team's clients are spread over hosts by chance, so that most of its load lies on a few.
 * Messages take some milliseconds, get lost, or are cut off; processes are killed.
 */
final class QuotaModel {

    static final TeamName TEAM = new TeamName("team");

    /** Stands for the primary owner among the hosts killed. */
    static final int PRIMARY = -1;

    private static final int DOMAINS = 4;
    private static final long TIMEOUT_MILLIS = 200;
    private static final long REPORT_MILLIS = 1_000;

    /** A host that returns later than this has lost its power, and refuses no connections. */
    private static final long REFUSING_MILLIS = 10_000;

    private static final long SILENT_MILLIS = 2_500;
    private static final long IDLE_FACTOR = 2;

    /** Time from the start of the hosts to that of the traffic. */
    private static final long TRAFFIC_MILLIS = 3_000;

    /**
     * Time within which all hosts have noticed a change of the owner, in milliseconds: hosts that
     * have just started list the others again after 5 s.
     */
    static final long CHANGE_MILLIS = 5_000;

    private static final double MIN_DELAY_MILLIS = 0.4;
    private static final double DELAY_SPREAD_MILLIS = 3;

    /** How the hosts share the quota. */
    enum Way {
        /** Each host has an equal part. */
        EQUAL_PARTS,
        /** Each host has a part by its share of the demand that all tell each other. */
        DEMAND_PARTS,
        /** An owner lends: {@link QuotaShard} and {@link QuotaBorrower}. */
        LENDING
    }

    /**
     * Result of a run.
     *
     * @param mostExcess most by which the use in a window exceeded the bound, as a share of it;
     *     negative if it stayed below
     * @param refusedInVain share of the units that one exact bucket would have admitted and the
     *     hosts refused in sum, requests to hosts that are down included
     * @param deniedInVain the same of requests to running hosts, summed over seconds: what is
     *     admitted beyond the limit in one second does not make up for refusals in another
     * @param waited share of the requests that waited for an owner
     * @param longestWait longest wait of a request for its decision, in milliseconds
     * @param messages messages a host and second
     */
    record Result(
            double mostExcess,
            double refusedInVain,
            double deniedInVain,
            double waited,
            double longestWait,
            double messages) {}

    private record Request(long cost, double atMillis) {}

    private record Event(double atMillis, long order, Runnable work) {}

    private final class Host {
        private final int mIndex;
        private QuotaBorrower<Request> mBorrower = new QuotaBorrower<>(0);
        private QuotaShard mShard = new QuotaShard(mBounds, 0);
        private OwnerChoice mChoice = QuotaBorrower.owners();
        private boolean mInProgress;
        private long mDownUntil;
        private long mEpoch;
        private double mChangedAt = Double.MAX_VALUE;
        private double mLevel;
        private double mLevelAt;
        private DecayingRate mDemand = new DecayingRate(2_000);
        private final double[] mHeardDemand;

        private Host(int index, int hosts) {
            mIndex = index;
            mHeardDemand = new double[hosts];
        }
    }

    private final Way mWay;
    private final QuotaScenario mScenario;
    private final QuotaBounds mBounds;
    private final UniformRandomProvider mRandom;
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingDouble(Event::atMillis).thenComparingLong(Event::order));
    private final List<Host> mHosts = new ArrayList<>();
    private final QuotaMeasure mMeasure;
    private final Set<HostId> mNames = new HashSet<>();
    private final int mPrimary;
    private final int mSecond;
    private double mNow;
    private long mOrder;
    private long mRequests;
    private long mWaits;
    private double mLongestWait;
    private long mMessages;

    QuotaModel(Way way, QuotaScenario scenario, QuotaBounds bounds, long seed) {
        mWay = way;
        mScenario = scenario;
        mBounds = bounds;
        mMeasure = new QuotaMeasure(bounds, scenario.limit());
        mRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        IntStream.range(0, scenario.hosts())
                .forEach(
                        index -> {
                            mHosts.add(new Host(index, scenario.hosts()));
                            mNames.add(name(index));
                        });
        mPrimary = mRandom.nextInt(scenario.hosts());
        mSecond = (mPrimary + 1 + mRandom.nextInt(scenario.hosts() - 1)) % scenario.hosts();
    }

    /** Plays the scenario and returns what was measured. */
    Result run(long millis) {
        int clients = mScenario.traffic().clients();
        for (int client = 0; client < clients; client++) {
            Host host = mHosts.get(mRandom.nextInt(mScenario.hosts()));
            at(TRAFFIC_MILLIS, () -> scheduleArrival(host, clients));
        }
        if (clients == 0) {
            mHosts.forEach(
                    host -> at(TRAFFIC_MILLIS, () -> scheduleArrival(host, mScenario.hosts())));
        }
        mHosts.forEach(host -> at(mRandom.nextDouble() * REPORT_MILLIS, () -> regular(host)));
        if (mScenario.killMillis() > 0) {
            at(mScenario.killMillis(), this::kill);
        }
        if (mScenario.changeMillis() > 0) {
            mHosts.forEach(
                    host ->
                            host.mChangedAt =
                                    mScenario.changeMillis()
                                            + mRandom.nextDouble() * CHANGE_MILLIS);
        }
        while (!mEvents.isEmpty() && mEvents.peek().atMillis() < millis) {
            Event next = mEvents.poll();
            mNow = next.atMillis();
            next.work().run();
        }
        return new Result(
                mMeasure.mostExcess(),
                mMeasure.refusedInVain(),
                mMeasure.deniedInVain(),
                mWaits / (double) mRequests,
                mLongestWait,
                mMessages / (double) mScenario.hosts() / (millis / 1_000.0));
    }

    private static HostId name(int index) {
        return new HostId("h" + index);
    }

    private static int domain(int host) {
        return host % DOMAINS;
    }

    private void at(double delayMillis, Runnable work) {
        mEvents.add(new Event(mNow + delayMillis, mOrder++, work));
    }

    private long now() {
        return (long) mNow;
    }

    private void scheduleArrival(Host host, int clients) {
        double perClient = mScenario.load().applyAsDouble(mNow) / clients;
        double requestsPerMilli = perClient / mScenario.traffic().mean() / 1_000;
        at(
                -Math.log(1 - mRandom.nextDouble()) / requestsPerMilli,
                () -> {
                    arrive(host);
                    scheduleArrival(host, clients);
                });
    }

    private void arrive(Host host) {
        long cost = mScenario.traffic().draw(mRandom);
        mRequests++;
        boolean running = mNow >= host.mDownUntil;
        mMeasure.ask(cost, running, mNow);
        if (!running) {
            return;
        }
        QuotaLimit limit = mScenario.limit().apply(now());
        switch (mWay) {
            case LENDING -> {
                Request request = new Request(cost, mNow);
                QuotaDecision decision = host.mBorrower.take(TEAM, cost, request, now());
                if (decision instanceof QuotaDecision.Admitted) {
                    use(cost, mNow);
                } else if (decision instanceof QuotaDecision.Pending) {
                    mWaits++;
                    at(QuotaBorrower.WAIT_MILLIS + 1, () -> expire(host));
                }
                ask(host);
            }
            case EQUAL_PARTS -> part(host, cost, limit, 1.0 / mScenario.hosts());
            case DEMAND_PARTS -> {
                host.mDemand.add(cost, now());
                host.mHeardDemand[host.mIndex] = host.mDemand.perSecond(now());
                double all = java.util.Arrays.stream(host.mHeardDemand).sum();
                part(host, cost, limit, host.mHeardDemand[host.mIndex] / all);
            }
            default -> throw new IllegalStateException("unknown way " + mWay);
        }
    }

    private void part(Host host, long cost, QuotaLimit limit, double share) {
        double passed = (mNow - host.mLevelAt) / 1_000;
        double capacity = Math.max(limit.burstUnits() * share, limit.unitsPerSecond() * share);
        host.mLevel = Math.min(capacity, host.mLevel + passed * limit.unitsPerSecond() * share);
        host.mLevelAt = mNow;
        if (host.mLevel > 0) {
            host.mLevel -= cost;
            use(cost, mNow);
        }
    }

    private void use(long cost, double arrivedMillis) {
        mMeasure.use(cost, arrivedMillis, mNow);
    }

    private void regular(Host host) {
        if (mNow >= host.mDownUntil) {
            if (mWay == Way.LENDING) {
                if (host.mBorrower.reportDue(REPORT_MILLIS, REPORT_MILLIS * IDLE_FACTOR, now())) {
                    exchange(host);
                }
            } else if (mWay == Way.DEMAND_PARTS) {
                double demand = host.mDemand.perSecond(now());
                mHosts.stream()
                        .filter(other -> other != host)
                        .forEach(
                                other ->
                                        send(
                                                host.mIndex,
                                                other.mIndex,
                                                () -> other.mHeardDemand[host.mIndex] = demand));
            }
        }
        at(mWay == Way.DEMAND_PARTS ? REPORT_MILLIS / 2.0 : REPORT_MILLIS, () -> regular(host));
    }

    private void ask(Host host) {
        if (host.mBorrower.needsUnits(now())) {
            exchange(host);
        }
    }

    private boolean changed(Host host) {
        return mScenario.views().changed(host.mIndex, mNow - host.mChangedAt);
    }

    private void exchange(Host host) {
        if (host.mInProgress) {
            return;
        }
        List<HostId> candidates = new ArrayList<>();
        boolean changed = changed(host);
        candidates.add(name(changed ? mSecond : mPrimary));
        candidates.add(name(changed ? mPrimary : mSecond));
        IntStream.range(0, mScenario.hosts())
                .filter(
                        other ->
                                domain(other) == domain(host.mIndex)
                                        && other != mPrimary
                                        && other != mSecond)
                .mapToObj(QuotaModel::name)
                .filter(other -> !other.equals(name(host.mIndex)))
                .limit(1)
                .forEach(candidates::add);
        candidates.add(name(host.mIndex));
        HostId target = host.mChoice.choose(candidates, now());
        Host owner = mHosts.get(Integer.parseInt(target.value().substring(1)));
        QuotaRequest request = host.mBorrower.report(target, now());
        long epoch = host.mEpoch;
        boolean[] answered = {false};
        host.mInProgress = true;
        send(
                host.mIndex,
                owner.mIndex,
                () -> {
                    QuotaResponse response = lend(owner, host.mIndex, request);
                    send(
                            owner.mIndex,
                            host.mIndex,
                            () -> {
                                if (!answered[0] && host.mEpoch == epoch) {
                                    answered[0] = true;
                                    host.mInProgress = false;
                                    host.mChoice.recordSuccess(target);
                                    settle(host, request, response);
                                }
                            });
                });
        boolean refused = mNow < owner.mDownUntil && mScenario.returnMillis() <= REFUSING_MILLIS;
        long timeoutMillis =
                host.mBorrower.usesDeputies(now()) && host.mChoice.hasFailed(target)
                        ? QuotaBorrower.PROBE_MILLIS
                        : TIMEOUT_MILLIS;
        at(
                refused ? MIN_DELAY_MILLIS : timeoutMillis,
                () -> {
                    if (!answered[0] && host.mEpoch == epoch) {
                        answered[0] = true;
                        host.mInProgress = false;
                        host.mChoice.recordFailure(
                                target,
                                refused
                                        ? OwnerChoice.FailureKind.NO_CONNECTION
                                        : OwnerChoice.FailureKind.NO_RESPONSE,
                                now());
                        exchange(host);
                    }
                });
    }

    private QuotaResponse lend(Host owner, int from, QuotaRequest request) {
        QuotaShard.Fleet fleet =
                new QuotaShard.Fleet(
                        owner.mIndex == (changed(owner) ? mSecond : mPrimary),
                        mNames,
                        mScenario.hosts(),
                        SILENT_MILLIS,
                        SILENT_MILLIS * IDLE_FACTOR);
        return owner.mShard.lend(
                name(from),
                request,
                fleet,
                team -> Optional.of(mScenario.limit().apply(now())),
                now());
    }

    private void settle(Host host, QuotaRequest request, QuotaResponse response) {
        decided(host.mBorrower.apply(request, response, now()));
        if (response.primary()) {
            askForWaiting(host);
        } else {
            at(QuotaBorrower.ASK_AGAIN_MILLIS, () -> askForWaiting(host));
        }
    }

    private void askForWaiting(Host host) {
        if (host.mBorrower.hasWaiting()) {
            exchange(host);
        }
    }

    private void expire(Host host) {
        decided(
                host.mBorrower.expire(
                        (team, cost) ->
                                mRandom.nextDouble()
                                        < mBounds.entryProbability(
                                                mScenario.limit().apply(now()),
                                                cost,
                                                mScenario.hosts()),
                        now()));
    }

    private void decided(List<QuotaBorrower.Settled<Request>> decisions) {
        decisions.forEach(
                settled -> {
                    Request waited = settled.request();
                    mLongestWait = Math.max(mLongestWait, mNow - waited.atMillis());
                    if (settled.decision() instanceof QuotaDecision.Admitted) {
                        use(waited.cost(), waited.atMillis());
                    }
                });
    }

    private void send(int from, int to, Runnable arrival) {
        if (from == to) {
            arrival.run();
            return;
        }
        mMessages++;
        boolean lost =
                mRandom.nextDouble() < mScenario.loss()
                        || mScenario.cut().test(from * 1_000 + to, now());
        long epoch = mHosts.get(to).mEpoch;
        long restartMillis = mScenario.killMillis() + mScenario.returnMillis();
        boolean slow = mNow < restartMillis + mScenario.slowMillis() && mNow >= restartMillis;
        if (!lost && !(slow && mRandom.nextBoolean())) {
            at(
                    (slow ? TIMEOUT_MILLIS * (1 + 2 * mRandom.nextDouble()) : MIN_DELAY_MILLIS)
                            + mRandom.nextDouble() * DELAY_SPREAD_MILLIS,
                    () -> {
                        Host receiver = mHosts.get(to);
                        if (mNow >= receiver.mDownUntil && receiver.mEpoch == epoch) {
                            arrival.run();
                        }
                    });
        }
    }

    private void kill() {
        mScenario
                .killed()
                .forEach(
                        index -> {
                            Host host = mHosts.get(index == PRIMARY ? mPrimary : index);
                            host.mEpoch++;
                            host.mDownUntil = now() + mScenario.returnMillis();
                            host.mBorrower = new QuotaBorrower<>(0);
                            host.mShard = new QuotaShard(mBounds, now() + mScenario.returnMillis());
                            host.mChoice = QuotaBorrower.owners();
                            host.mInProgress = false;
                            host.mLevel = 0;
                        });
    }
}
