package org.cyclamenpaddle.routing.silence;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.cyclamenpaddle.routing.Fixtures;
import org.cyclamenpaddle.routing.retry.RetryBudget;

/**
 * Hosts and backend servers in virtual time, with servers that fall silent.
 *
 * <p>The limits, the decision on a second send and the retry budget are the production classes;
 * selection, ejection and the bookkeeping of the two sends follow those of the relay.
 */
final class SilenceModel {

    static final long TARGET_MILLIS = 900;
    static final long SILENCE_MILLIS = 3_600;
    static final long TIMEOUT_MILLIS = 14_000;

    /** Stands for a silence that never ends, in milliseconds. */
    static final long FOR_GOOD = 1_000_000;

    static final double SHARE = 0.2;
    static final double WINDOW_SECONDS = 10;

    /** Requests arrive within this time, in milliseconds. */
    static final long ARRIVAL_MILLIS = 2_000;

    private static final double USABLE_SHARE = 0.85;
    private static final double BURST_SHARE = 0.7;
    private static final int EVENTS = 20;
    private static final int MAX_DELAY_MILLIS = 3;

    /** Time in which a server takes up all its requests again after a silence, in milliseconds. */
    private static final int MAX_LATE_MILLIS = 400;

    private static final int SILENCES_TO_EJECT = 2;
    private static final long EJECTION_MILLIS = 500;
    private static final long MAX_EJECTION_MILLIS = 4_000;

    /**
     * Servers that fall silent, in milliseconds.
     *
     * @param servers number of these servers
     * @param fromMillis time at which the first one falls silent
     * @param stepMillis time after which the next one does
     * @param millis length of each silence
     */
    record Silence(int servers, long fromMillis, long stepMillis, long millis) {}

    /**
     * What a run consists of.
     *
     * @param slack retries that all hosts may send in a window beside their share of the requests
     * @param attempts number of servers to which one request may be sent
     */
    record Scenario(
            int hosts,
            int servers,
            int requests,
            boolean streams,
            Silence silence,
            double slack,
            int attempts) {

        /** Returns the arrivals beyond the first of each request that the hosts may send. */
        double allowedExtra() {
            return slack + SHARE * requests;
        }
    }

    /**
     * Result of a run.
     *
     * @param arrivals requests that arrived at servers
     * @param whole requests answered as a whole
     * @param lostAtSound requests not answered that their first server would have answered in time
     * @param lost requests that were not answered
     * @param longestGapMillis longest time without an event of any stream answered as a whole
     * @param left sends that were still in progress when their request had ended
     */
    record Outcome(
            int arrivals, int whole, int lostAtSound, int lost, long longestGapMillis, int left) {}

    private record Event(long millis, long order, Runnable action) {}

    private final class Server {
        private final int mNumber;
        private final long mFrom;
        private final long mUntil;

        Server(int number) {
            Silence silence = mScenario.silence();
            boolean silent = number < silence.servers();
            mNumber = number;
            mFrom = silent ? silence.fromMillis() + number * silence.stepMillis() : FOR_GOOD;
            mUntil = silent ? mFrom + silence.millis() : FOR_GOOD;
        }

        /** Returns when work that begins at a time is done; it goes on late after a silence. */
        private long doneMillis(long fromMillis, long workMillis, long lateMillis) {
            if (fromMillis >= mUntil || fromMillis + workMillis < mFrom) {
                return fromMillis + workMillis;
            }
            return mUntil + lateMillis + workMillis - Math.max(0, mFrom - fromMillis);
        }
    }

    /** What a host knows of a server. */
    private static final class Known {
        private int mRunning;
        private long mHeard = Long.MIN_VALUE / 2;
        private long mWorkSince;
        private int mSilences;
        private int mEjections;
        private long mEjectedUntil;

        private ServerActivity activity(long now) {
            boolean busy = mRunning > 0;
            return new ServerActivity(busy, busy ? now - mWorkSince : 0, now - mHeard);
        }
    }

    private final class Host {
        private final RetryBudget mBudget = new RetryBudget(settings());
        private final Known[] mKnown =
                IntStream.range(0, mScenario.servers())
                        .mapToObj(i -> new Known())
                        .toArray(Known[]::new);

        private Optional<Server> select(Set<Server> avoid) {
            List<Server> usable =
                    mServers.stream().filter(server -> !avoid.contains(server)).toList();
            List<Server> admitted = usable.stream().filter(this::admits).toList();
            List<Integer> order =
                    IntStream.range(0, mScenario.servers())
                            .mapToObj(i -> mRandom.nextInt(1_000))
                            .toList();
            return (admitted.isEmpty() ? usable : admitted)
                    .stream()
                            .min(
                                    Comparator.<Server>comparingInt(
                                                    server -> mKnown[server.mNumber].mRunning)
                                            .thenComparing(server -> order.get(server.mNumber)));
        }

        private boolean admits(Server server) {
            Known known = mKnown[server.mNumber];
            return known.mEjections == 0 || mNow >= known.mEjectedUntil;
        }

        private void recordSilence(Server server, long limitMillis) {
            Known known = mKnown[server.mNumber];
            if (known.activity(mNow).isSilent(limitMillis)
                    && ++known.mSilences >= SILENCES_TO_EJECT
                    && mNow >= known.mEjectedUntil) {
                long millis = EJECTION_MILLIS << Math.min(known.mEjections, 3);
                known.mEjectedUntil = mNow + Math.min(MAX_EJECTION_MILLIS, millis);
                known.mEjections++;
            }
        }

        private OtherServers others(Set<Server> avoid, long limitMillis) {
            return OtherServers.of(
                    mServers.stream()
                            .filter(server -> !avoid.contains(server))
                            .map(server -> mKnown[server.mNumber].activity(mNow))
                            .toList(),
                    limitMillis);
        }

        private Set<Server> unheard(long limitMillis) {
            Set<Server> silent = new HashSet<>();
            mServers.stream()
                    .filter(server -> !mKnown[server.mNumber].activity(mNow).isHeard(limitMillis))
                    .forEach(silent::add);
            return silent;
        }

        private Set<Server> silent(long limitMillis) {
            Set<Server> silent = new HashSet<>();
            mServers.stream()
                    .filter(server -> mKnown[server.mNumber].activity(mNow).isSilent(limitMillis))
                    .forEach(silent::add);
            return silent;
        }
    }

    /** One send of a request; its run at the server begins with its arrival. */
    private final class Send {
        private final Request mRequest;
        private final Server mServer;
        private final int mEventsBefore;
        private final long mArrivalMillis = mNow + delay();
        private final long mLateMillis = mRandom.nextInt(MAX_LATE_MILLIS);
        private long mHeard = mNow;
        private boolean mEnded;

        Send(Request request, Server server) {
            mRequest = request;
            mServer = server;
            mEventsBefore = request.mEvents;
            Known known = known();
            known.mWorkSince = known.mRunning == 0 ? mNow : known.mWorkSince;
            known.mRunning++;
            mArrivals++;
            request.mTried.add(server);
            mInProgress.add(this);
            run(mArrivalMillis, 0);
        }

        private Known known() {
            return mRequest.mHost.mKnown[mServer.mNumber];
        }

        private void run(long fromMillis, int events) {
            int next = mEventsBefore + events;
            long work = events == 0 ? mRequest.mWork[0] : mRequest.mWork[next];
            long done = mServer.doneMillis(fromMillis, work, mLateMillis);
            at(
                    done + delay(),
                    () -> {
                        if (!mEnded) {
                            heard(done, events);
                        }
                    });
        }

        private void heard(long doneMillis, int events) {
            Known known = known();
            known.mHeard = mNow;
            known.mSilences = 0;
            known.mEjections = 0;
            mHeard = mNow;
            mRequest.event(this);
            if (!mEnded) {
                run(doneMillis, events + 1);
            }
        }

        private void end() {
            mEnded = true;
            known().mRunning--;
            mInProgress.remove(this);
        }
    }

    private final class Request {
        private final Host mHost;
        private final long mStart = mNow;
        private final long[] mWork = new long[EVENTS];
        private final Set<Server> mTried = new HashSet<>();
        private final int mLength = mScenario.streams() ? EVENTS : 1;
        private Send mFirst;
        private Optional<Send> mSecond = Optional.empty();
        private Optional<SecondSend> mDecision = Optional.empty();
        private SilenceLimits mLimits;
        private int mWatches;
        private Optional<OtherServers> mOthers = Optional.empty();
        private OptionalLong mResponds = OptionalLong.empty();
        private int mSends = 1;
        private int mEvents;
        private long mLastEvent = mNow;
        private long mLongestGap;
        private boolean mSound;
        private boolean mOver;

        Request(Host host) {
            mHost = host;
            mWork[0] = 30 + mRandom.nextInt(300);
            IntStream.range(1, EVENTS).forEach(i -> mWork[i] = 40 + mRandom.nextInt(260));
            host.mBudget.recordRequest(Fixtures.SERVICE, mNow);
            mFirst = new Send(this, host.select(Set.of()).orElseThrow());
            mSound = sound(mFirst);
            watch();
            at(mStart + TIMEOUT_MILLIS, this::leave);
        }

        /** Returns whether a server alone would answer the whole request in time. */
        private boolean sound(Send send) {
            long now = send.mArrivalMillis;
            for (int i = 0; i < mLength; i++) {
                long done = send.mServer.doneMillis(now, mWork[i], send.mLateMillis);
                if (i > 0 && done + MAX_DELAY_MILLIS - now >= SILENCE_MILLIS) {
                    return false;
                }
                now = done;
            }
            return now + MAX_DELAY_MILLIS < mStart + TIMEOUT_MILLIS;
        }

        private long remainingMillis() {
            return Math.max(0, mStart + TIMEOUT_MILLIS - mNow);
        }

        private void event(Send send) {
            if (mSecond.isPresent()) {
                Send dropped = mSecond.get() == send ? mFirst : mSecond.get();
                dropped.end();
                mFirst = send;
                mSecond = Optional.empty();
                watch();
            }
            mLongestGap = Math.max(mLongestGap, mEvents == 0 ? 0 : mNow - mLastEvent);
            mEvents++;
            mLastEvent = mNow;
            if (mEvents == mLength) {
                mWhole++;
                mLongestGapMillis = Math.max(mLongestGapMillis, mLongestGap);
                over();
                return;
            }
            int events = mEvents;
            in(
                    SILENCE_MILLIS,
                    () -> {
                        if (mEvents == events) {
                            leave();
                        }
                    });
        }

        private void over() {
            mOver = true;
            mWatches++;
            mFirst.end();
            mSecond.ifPresent(Send::end);
        }

        private void leave() {
            if (!mOver) {
                mLost++;
                mLostAtSound += mSound ? 1 : 0;
                over();
            }
        }

        private void watch() {
            mWatches++;
            mDecision = Optional.empty();
            mOthers = Optional.empty();
            mResponds = OptionalLong.empty();
            mLimits = SilenceLimits.of(TARGET_MILLIS, SILENCE_MILLIS, remainingMillis());
            schedule(mLimits.millis(begun()) - (mNow - mFirst.mHeard));
        }

        private boolean begun() {
            return mEvents > mFirst.mEventsBefore;
        }

        private void schedule(long millis) {
            int watch = mWatches;
            in(
                    Math.max(1, millis),
                    () -> {
                        if (watch == mWatches) {
                            check();
                        }
                    });
        }

        private void check() {
            long limitMillis = mLimits.millis(begun());
            long quietMillis = mNow - mFirst.mHeard;
            if (quietMillis < limitMillis) {
                mDecision = Optional.empty();
                mOthers = Optional.empty();
                mResponds = OptionalLong.empty();
                schedule(limitMillis - quietMillis);
                return;
            }
            silent(limitMillis);
            if (mSecond.isEmpty() && mDecision.map(SecondSend::mayChange).orElse(false)) {
                schedule(SilenceLimits.recheckMillis(limitMillis));
            }
        }

        private void silent(long limitMillis) {
            long otherMillis = SilenceLimits.otherMillis(limitMillis);
            if (mDecision.isEmpty()) {
                mHost.recordSilence(mFirst.mServer, otherMillis);
            }
            OtherServers others = mHost.others(mTried, otherMillis);
            SecondSend decision =
                    SecondSend.decide(
                            new SecondSend.Request(
                                    true,
                                    mSends < mScenario.attempts(),
                                    false,
                                    remainingMillis(),
                                    TARGET_MILLIS),
                            new SecondSend.Servers(
                                    resumed(limitMillis),
                                    mNow - mFirst.mHeard
                                            >= SilenceLimits.overdueMillis(limitMillis),
                                    false,
                                    others,
                                    mOthers));
            mOthers = Optional.of(others);
            if (decision == SecondSend.ALLOWED
                    && !mHost.mBudget.tryAcquire(Fixtures.SERVICE, mNow)) {
                decision = SecondSend.NO_BUDGET;
            }
            mDecision = Optional.of(decision);
            if (decision == SecondSend.ALLOWED) {
                Set<Server> avoid =
                        others == OtherServers.AVAILABLE
                                ? mHost.unheard(otherMillis)
                                : mHost.silent(otherMillis);
                avoid.addAll(mTried);
                mHost.select(avoid).ifPresentOrElse(this::openSecond, this::noRoom);
            }
        }

        private boolean resumed(long limitMillis) {
            boolean responds =
                    mFirst.known().activity(mNow).isHeard(SilenceLimits.otherMillis(limitMillis));
            long since = mResponds.orElse(mNow);
            mResponds = responds ? OptionalLong.of(since) : OptionalLong.empty();
            return responds && mNow - since < SilenceLimits.resumeMillis(limitMillis);
        }

        private void openSecond(Server server) {
            mWatches++;
            mSends++;
            mSecond = Optional.of(new Send(this, server));
        }

        private void noRoom() {
            mHost.mBudget.putBack(Fixtures.SERVICE, mNow);
            mDecision = Optional.of(SecondSend.NO_ROOM);
        }
    }

    private final Scenario mScenario;
    private final UniformRandomProvider mRandom;
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::millis).thenComparingLong(Event::order));
    private final List<Server> mServers;
    private final List<Host> mHosts;
    private final Set<Send> mInProgress = new HashSet<>();
    private final List<Request> mRequests = new ArrayList<>();
    private long mNow;
    private long mOrder;
    private int mArrivals;
    private int mWhole;
    private int mLost;
    private int mLostAtSound;
    private long mLongestGapMillis;

    private SilenceModel(Scenario scenario, long seed) {
        mScenario = scenario;
        mRandom = Fixtures.random(seed);
        mServers = IntStream.range(0, scenario.servers()).mapToObj(Server::new).toList();
        mHosts = IntStream.range(0, scenario.hosts()).mapToObj(i -> new Host()).toList();
    }

    static Outcome run(Scenario scenario, long seed) {
        return new SilenceModel(scenario, seed).run();
    }

    private Outcome run() {
        IntStream.range(0, mScenario.requests())
                .forEach(
                        i ->
                                at(
                                        mRandom.nextLong(ARRIVAL_MILLIS),
                                        () -> mRequests.add(new Request(host()))));
        while (!mEvents.isEmpty()) {
            Event event = mEvents.poll();
            mNow = event.millis();
            event.action().run();
        }
        return new Outcome(
                mArrivals, mWhole, mLostAtSound, mLost, mLongestGapMillis, mInProgress.size());
    }

    private RetryBudget.Settings settings() {
        double hostSlack = mScenario.slack() * USABLE_SHARE / mScenario.hosts();
        return new RetryBudget.Settings(
                SHARE * USABLE_SHARE,
                hostSlack * (1 - BURST_SHARE) / WINDOW_SECONDS,
                Math.max(1, hostSlack * BURST_SHARE));
    }

    private Host host() {
        return mHosts.get(mRandom.nextInt(mHosts.size()));
    }

    private long delay() {
        return 1 + mRandom.nextInt(MAX_DELAY_MILLIS);
    }

    private void at(long millis, Runnable action) {
        mEvents.add(new Event(millis, mOrder++, action));
    }

    private void in(long millis, Runnable action) {
        at(mNow + millis, action);
    }
}
