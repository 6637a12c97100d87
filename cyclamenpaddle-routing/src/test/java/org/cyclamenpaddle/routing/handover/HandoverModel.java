package org.cyclamenpaddle.routing.handover;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.id.HostId;
import org.cyclamenpaddle.core.id.ServiceName;
import org.cyclamenpaddle.routing.connectivity.BackendReachability;
import org.cyclamenpaddle.routing.connectivity.CheckResult;
import org.cyclamenpaddle.routing.connectivity.CheckTarget;
import org.cyclamenpaddle.routing.connectivity.ReachabilitySettings;

/**
 * Fleet of hosts of which some lose their paths to all servers, in virtual time, with the decisions
 * of the process and the readiness checks of a balancer.
 *
 * <p>The balancer sends callers to hosts of their failure domain that are ready, or to all hosts of
 * the domain while fewer than half of them are. Half of the callers keep their connections.
 */
final class HandoverModel {

    /** What a host does for a request while it is cut off. */
    enum Way {
        /** It sends to servers as ever, which fails. */
        NONE(false, false),
        /** It reports that it is not ready, and closes callers' connections. */
        UNREADY(true, false),
        /** It hands its requests over. */
        HAND_OVER(false, true),
        /** Both. */
        BOTH(true, true);

        private final boolean mUnready;
        private final boolean mHandsOver;

        Way(boolean unready, boolean handsOver) {
            mUnready = unready;
            mHandsOver = handsOver;
        }
    }

    static final long CUT_MILLIS = 5_000;
    static final long CONTACT_MILLIS = 3_000;
    static final long END_MILLIS = 14_000;
    private static final long STEP_MILLIS = 50;
    private static final long ROUND_MILLIS = 250;
    private static final long READY_CHECK_MILLIS = 1_000;
    private static final double KEPT_CONNECTIONS = 0.5;
    private static final ServiceName SERVICE = new ServiceName("s");

    private final class Host {
        private final HostId mId;
        private final int mDomain;
        private final BackendReachability mReachability;
        private final HelperChoice mChoice;
        private final HelperAdmission mAdmission = new HelperAdmission(0);
        private boolean mCut;
        private boolean mReady = true;
        private int mMisses;
        private int mTaken;

        private Host(int number, int domains) {
            mId = new HostId("h" + number);
            mDomain = number % domains;
            mReachability =
                    new BackendReachability(
                            ReachabilitySettings.DEFAULTS, mRandom::nextDouble, mNow);
            mChoice = new HelperChoice(mRandom::nextDouble);
        }

        private boolean knowsCut() {
            return mReachability.isCutOff(SERVICE);
        }

        private void round() {
            List<BackendId> due = mReachability.dueChecks(mTargets.get(mDomain), mNow);
            due.forEach(
                    server ->
                            mReachability.checked(
                                    server,
                                    mCut || mServersDead
                                            ? CheckResult.FAILED
                                            : CheckResult.CONNECTED,
                                    mNow));
        }

        /** Returns whether a request of a caller is served at once. */
        private boolean serves() {
            mAdmission.recordOwn();
            if (!knowsCut()) {
                if (mCut || mServersDead) {
                    mReachability.requestFailed(SERVICE, mNow);
                }
                return !mCut && !mServersDead;
            }
            return mWay.mHandsOver && handsOver();
        }

        private boolean handsOver() {
            Set<HostId> asked = new HashSet<>();
            List<HelperCandidate> candidates = mCandidates.get(mDomain);
            while (true) {
                asked.add(mId);
                Optional<HostId> chosen = mChoice.choose(SERVICE, candidates, without(asked), mNow);
                if (chosen.isEmpty()) {
                    return false;
                }
                Host helper = mHosts.get(Integer.parseInt(chosen.get().value().substring(1)));
                mHandedOver++;
                asked.add(helper.mId);
                Optional<HandoverRefusal> refusal = helper.take();
                if (refusal.isEmpty()) {
                    mChoice.reaches(helper.mId, SERVICE, mNow);
                    return !helper.mCut && !mServersDead;
                }
                mChoice.refused(helper.mId, SERVICE, refusal.get(), mNow);
                helper.mChoice
                        .preferred(SERVICE, mNow)
                        .filter(host -> refusal.get() == HandoverRefusal.CUT_OFF)
                        .filter(host -> !host.equals(mId))
                        .ifPresent(host -> mChoice.reaches(host, SERVICE, mNow));
            }
        }

        private Set<HostId> without(Set<HostId> asked) {
            Set<HostId> others = new HashSet<>(asked);
            others.remove(mId);
            return others;
        }

        private Optional<HandoverRefusal> take() {
            if (knowsCut()) {
                return Optional.of(HandoverRefusal.CUT_OFF);
            }
            if (!mAdmission.tryTake(mNow)) {
                return Optional.of(HandoverRefusal.BUSY);
            }
            mTaken++;
            mAdmission.ended();
            return Optional.empty();
        }
    }

    private final Way mWay;
    private final Random mRandom;
    private final List<Host> mHosts = new ArrayList<>();
    private final List<Map<ServiceName, List<CheckTarget>>> mTargets = new ArrayList<>();
    private final List<List<HelperCandidate>> mCandidates = new ArrayList<>();
    private final int mDomains;
    private final double mPerHostAndSecond;
    private boolean mServersDead;
    private long mNow;
    private int mCutRequests;
    private int mCutServed;
    private int mOtherRequests;
    private int mOtherServed;
    private long mUnreadySteps;
    private long mSteps;
    private long mHandedOver;

    HandoverModel(Way way, int hosts, int domains, double perHostAndSecond, long seed) {
        mWay = way;
        mDomains = domains;
        mPerHostAndSecond = perHostAndSecond;
        mRandom = new Random(seed);
        for (int domain = 0; domain < domains; domain++) {
            int own = domain;
            mTargets.add(
                    Map.of(
                            SERVICE,
                            IntStream.range(0, 2 * hosts)
                                    .mapToObj(
                                            i ->
                                                    new CheckTarget(
                                                            new BackendId("b" + i),
                                                            i % domains == own))
                                    .toList()));
            mCandidates.add(
                    IntStream.range(0, hosts)
                            .mapToObj(
                                    i ->
                                            new HelperCandidate(
                                                    new HostId("h" + i), i % domains == own))
                            .toList());
        }
        IntStream.range(0, hosts).forEach(i -> mHosts.add(new Host(i, domains)));
        for (Host host : mHosts) {
            host.mChoice.refused(host.mId, SERVICE, HandoverRefusal.STOPPING, Long.MAX_VALUE / 2);
        }
    }

    /** Runs the model; the hosts with the given numbers are cut off after five seconds. */
    HandoverModel run(Set<Integer> cut) {
        return run(cut, false);
    }

    /** Runs the model with all servers dead after five seconds. */
    HandoverModel runWithDeadServers() {
        return run(Set.of(), true);
    }

    private HandoverModel run(Set<Integer> cut, boolean dead) {
        for (mNow = 0; mNow < END_MILLIS; mNow += STEP_MILLIS) {
            if (mNow == CUT_MILLIS) {
                cut.forEach(number -> mHosts.get(number).mCut = true);
                mServersDead = dead;
            }
            step();
        }
        return this;
    }

    private void step() {
        if (mNow % ROUND_MILLIS == 0) {
            mHosts.forEach(Host::round);
        }
        if (mNow % READY_CHECK_MILLIS == 0) {
            mHosts.forEach(this::checkReadiness);
        }
        boolean judged = mNow >= CUT_MILLIS + CONTACT_MILLIS;
        double expected = mPerHostAndSecond * STEP_MILLIS / 1_000;
        for (Host named : mHosts) {
            for (int i = 0; i < poisson(expected); i++) {
                Host host = mRandom.nextDouble() < KEPT_CONNECTIONS ? named : balanced(named);
                boolean served = host.serves();
                if (judged && host.mCut) {
                    mCutRequests++;
                    mCutServed += served ? 1 : 0;
                } else if (judged) {
                    mOtherRequests++;
                    mOtherServed += served ? 1 : 0;
                }
            }
        }
        mSteps += mHosts.size();
        mUnreadySteps += mHosts.stream().filter(host -> !host.mReady).count();
    }

    private void checkReadiness(Host host) {
        boolean ready = !(mWay.mUnready && host.knowsCut());
        host.mMisses = ready ? 0 : host.mMisses + 1;
        host.mReady = host.mMisses < 2;
    }

    /** Returns the host to which the balancer sends a new connection of a failure domain. */
    private Host balanced(Host named) {
        List<Host> domain = mHosts.stream().filter(host -> host.mDomain == named.mDomain).toList();
        List<Host> ready = domain.stream().filter(host -> host.mReady).toList();
        List<Host> used = ready.size() * 2 < domain.size() ? domain : ready;
        return used.get(mRandom.nextInt(used.size()));
    }

    private int poisson(double mean) {
        double limit = Math.exp(-mean);
        int count = 0;
        for (double product = mRandom.nextDouble(); product > limit; count++) {
            product *= mRandom.nextDouble();
        }
        return count;
    }

    /** Returns the share of the requests at cut hosts that were served at the first try. */
    double cutServed() {
        return mCutRequests == 0 ? 1 : mCutServed / (double) mCutRequests;
    }

    /** Returns that share at the other hosts. */
    double otherServed() {
        return mOtherRequests == 0 ? 1 : mOtherServed / (double) mOtherRequests;
    }

    /** Returns the share of the time of all hosts in which they were out of rotation. */
    double unready() {
        return mUnreadySteps / (double) mSteps;
    }

    /** Returns how often a host and second a request was sent to another host. */
    double handedOverPerHostAndSecond() {
        return mHandedOver / (double) mHosts.size() / ((END_MILLIS - CUT_MILLIS) / 1_000.0);
    }

    /** Returns the largest number of requests that one host has taken a second. */
    double maxTakenPerSecond() {
        return mHosts.stream().mapToInt(host -> host.mTaken).max().orElse(0)
                / ((END_MILLIS - CUT_MILLIS) / 1_000.0);
    }

    /** Returns the hosts of the first failure domain. */
    Set<Integer> firstDomain() {
        Set<Integer> numbers = new HashSet<>();
        for (int i = 0; i < mHosts.size(); i += mDomains) {
            numbers.add(i);
        }
        return numbers;
    }
}
