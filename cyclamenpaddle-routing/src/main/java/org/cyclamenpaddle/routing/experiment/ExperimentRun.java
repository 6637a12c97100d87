package org.cyclamenpaddle.routing.experiment;

import io.vavr.control.Either;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.cyclamenpaddle.core.id.AttemptId;
import org.cyclamenpaddle.core.id.HostId;
import org.cyclamenpaddle.core.id.Incarnation;
import org.cyclamenpaddle.core.id.ServiceName;
import org.cyclamenpaddle.core.id.TeamName;
import org.cyclamenpaddle.core.outcome.Refusal;
import org.cyclamenpaddle.routing.admission.Admission;
import org.cyclamenpaddle.routing.admission.AdmissionSettings;
import org.cyclamenpaddle.routing.admission.Admitted;
import org.cyclamenpaddle.routing.expect.OutputLengthEstimator;
import org.cyclamenpaddle.routing.placement.Candidate;
import org.cyclamenpaddle.routing.placement.PlacementRequest;

/** A single run of one scenario. */
final class ExperimentRun {

    private static final long WARM_UP_MILLIS = 10_000;
    private static final long COOL_DOWN_MILLIS = 20_000;
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final double LENGTH_QUANTILE = 0.5;
    private static final int SOURCES = 64;
    private static final TeamName TEAM = new TeamName("model");
    private static final ServiceName SERVICE = new ServiceName("model");

    private final Scenario mScenario;
    private final EventLoop mLoop = new EventLoop();
    private final Cluster mCluster;
    private final Workload mWorkload;
    private final UniformRandomProvider mRandom;
    private final Admission mAdmission;
    private final OutputLengthEstimator mLengths =
            new OutputLengthEstimator(LENGTH_QUANTILE, SOURCES);
    private final double mArrivalsPerSecond;
    private final double mCapacityPerSecond;

    private double mNextArrivalMillis;
    private long mNumber;
    private long mArrived;
    private long mGood;
    private long mLate;
    private long mRefused;
    private long mLost;
    private long mFullResponses;

    ExperimentRun(Scenario scenario) {
        mScenario = scenario;
        mCluster = new Cluster(scenario, mLoop);
        mRandom = random(scenario.seed() + 1);
        mWorkload = new Workload(random(scenario.seed() + 2));
        mAdmission = new Admission(scenario.strategy().policy(), AdmissionSettings.DEFAULTS);
        double hold =
                Workload.meanHoldMillis(random(0), scenario.tokenMillis(), Scenario.LINK_RATE);
        mCapacityPerSecond = scenario.decodeServers() * Scenario.SLOTS * MILLIS_PER_SECOND / hold;
        mArrivalsPerSecond = scenario.load() * mCapacityPerSecond;
    }

    RunResult run() {
        long end = mScenario.seconds() * (long) MILLIS_PER_SECOND;
        scheduleArrival(end);
        mLoop.runUntil(end + COOL_DOWN_MILLIS);
        double seconds = (end - WARM_UP_MILLIS) / MILLIS_PER_SECOND;
        return new RunResult(
                mArrived,
                mGood,
                mLate,
                mRefused,
                mLost,
                mFullResponses,
                mCapacityPerSecond * seconds,
                mCluster.wastedShare());
    }

    EventLoop loop() {
        return mLoop;
    }

    Cluster cluster() {
        return mCluster;
    }

    Strategy strategy() {
        return mScenario.strategy();
    }

    ServiceName service() {
        return SERVICE;
    }

    int expectedTokens() {
        return mLengths.expectedTokens(SERVICE, TEAM, Workload.MAX_TOKENS);
    }

    Either<Refusal, Admitted> admit(PlacementRequest request, int host) {
        return mAdmission.admit(request, mCluster.view(host, mNumber), mRandom);
    }

    List<Candidate> rankDecode(PlacementRequest request, int host) {
        return strategy()
                .policy()
                .rankDecode(request, mCluster.view(host, mRandom.nextInt()), mRandom, 0);
    }

    void countFull() {
        mFullResponses++;
    }

    void served(long arrivedAt, boolean good, int tokens) {
        mLengths.completed(SERVICE, TEAM, tokens);
        if (arrivedAt >= WARM_UP_MILLIS && good) {
            mGood++;
        } else if (arrivedAt >= WARM_UP_MILLIS) {
            mLate++;
        }
    }

    void refused(long arrivedAt) {
        mRefused += arrivedAt >= WARM_UP_MILLIS ? 1 : 0;
    }

    void lost(long arrivedAt) {
        mLost += arrivedAt >= WARM_UP_MILLIS ? 1 : 0;
    }

    private void scheduleArrival(long endMillis) {
        mNextArrivalMillis += mWorkload.gapMillis(mArrivalsPerSecond);
        long at = (long) mNextArrivalMillis;
        if (at >= endMillis) {
            return;
        }
        mLoop.after(
                at - mLoop.now(),
                () -> {
                    arrive();
                    scheduleArrival(endMillis);
                });
    }

    private void arrive() {
        int host = mRandom.nextInt(mScenario.hosts());
        Incarnation holder = new Incarnation(new HostId("host-" + host), 1);
        mArrived += mLoop.now() >= WARM_UP_MILLIS ? 1 : 0;
        new SimulatedRequest(this, mWorkload.next(), AttemptId.of(holder, mNumber++), host).start();
    }

    private static UniformRandomProvider random(long seed) {
        return RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    }
}
