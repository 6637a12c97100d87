package org.cyclamenpaddle.routing.reservation;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.stream.IntStream;
import org.cyclamenpaddle.routing.memory.EngineGenerations;
import org.cyclamenpaddle.routing.memory.MemoryForecast;
import org.cyclamenpaddle.routing.memory.NewGeneration;
import org.cyclamenpaddle.routing.memory.OutputLengths;
import org.cyclamenpaddle.routing.memory.RunningGeneration;

/**
 * Simulates in virtual time many hosts whose requests of several classes wait for the memory of the
 * same decode engines.
 *
 * <p>A host knows its own requests and what engines answer: whether a reservation is granted, and a
 * report that is some hundred milliseconds old. Memory is counted in tokens.
 */
final class WaitingOrderModel {

    /** A burst of requests of all classes. */
    record Burst(long startMillis, long endMillis, double times) {

        boolean contains(long millis) {
            return millis >= startMillis && millis < endMillis;
        }
    }

    static final int ENGINES = 33;
    static final long MEMORY_TOKENS = 44_402;
    private static final int PREFILL_ENGINES = 9;
    private static final double PREFILL_TOKENS_PER_MILLI = 55.6;
    private static final long PROMPT_TOKENS = 5_200;
    private static final long OUTPUT_TOKENS = 630;
    private static final double SPREAD = 0.3;
    private static final double MILLIS_PER_TOKEN = 6;
    static final long RUN_MILLIS = 40_000;
    private static final long CALL_MILLIS = 5;
    private static final long REPORT_LAG_MILLIS = 500;
    private static final long REPORT_INTERVAL_MILLIS = 400;
    private static final long FULL_MILLIS = 20;
    private static final long FULL_DECAY_MILLIS = 1_000;

    /** Mean time from a placement to the first event beside the prefill, in milliseconds. */
    private static final double FIRST_EVENT_MILLIS = 180;

    /** Pending action, ordered by time and then by creation. */
    private record Action(long atMillis, long number, Runnable run) {}

    /** A generation on an engine; its first event comes at {@code firstMillis}. */
    private record Generation(
            NewGeneration size, long length, int priority, Host host, long firstMillis) {

        long generated(long nowMillis) {
            long made = (long) ((nowMillis - firstMillis) / MILLIS_PER_TOKEN);
            return Math.max(0, Math.min(length, made));
        }

        long held(long nowMillis) {
            return Math.max(size.reservedTokens(), size.promptTokens() + generated(nowMillis));
        }
    }

    private static final class Engine {
        private final List<Generation> mRunning = new ArrayList<>();
        private List<RunningGeneration> mReport = List.of();
        private long mReserved;

        long free(long nowMillis) {
            return MEMORY_TOKENS
                    - mReserved
                    - mRunning.stream().mapToLong(each -> each.held(nowMillis)).sum();
        }

        List<RunningGeneration> state(long nowMillis) {
            return mRunning.stream()
                    .filter(each -> each.firstMillis() <= nowMillis)
                    .map(
                            each ->
                                    new RunningGeneration(
                                            each.size().promptTokens() + each.generated(nowMillis),
                                            each.generated(nowMillis),
                                            OptionalInt.of(each.priority())))
                    .toList();
        }
    }

    /** What one host knows. */
    private static final class Host {
        private final OutputLengths mLengths = new OutputLengths();
        private final MemoryForecast mForecast = new MemoryForecast(mLengths, 1);
        private final long[] mFullMillis = new long[ENGINES];
        private final long[] mReportMillis = new long[ENGINES];
        private final int[] mOwn = new int[ENGINES];
        private final List<List<RunningGeneration>> mReports = new ArrayList<>();
        private final int mDomain;
        private int mCompleted;

        Host(int domain) {
            mDomain = domain;
            for (int engine = 0; engine < ENGINES; engine++) {
                mReports.add(List.of());
                mFullMillis[engine] = -FULL_DECAY_MILLIS;
                mReportMillis[engine] = -REPORT_INTERVAL_MILLIS;
            }
        }
    }

    /** One request of a caller. */
    private record Request(
            RequestClass requestClass,
            Host host,
            NewGeneration size,
            long length,
            WaitingOrderTally tally) {}

    private final List<RequestClass> mClasses;
    private final List<Burst> mBursts;
    private final boolean mOrdered;
    private final Random mArrivals;
    private final Random mRandom;
    private final PriorityQueue<Action> mActions =
            new PriorityQueue<>(
                    Comparator.comparingLong(Action::atMillis).thenComparing(Action::number));
    private final List<Engine> mEngines = new ArrayList<>();
    private final long[] mPrefillFreeMillis = new long[PREFILL_ENGINES];
    private final List<Host> mHosts = new ArrayList<>();
    private final WaitingOrderTally[][] mTallies;
    private long mNow;
    private long mNumber;
    private int mCalls;

    /**
     * Creates a model.
     *
     * @param ordered whether the search of a request knows its urgency
     */
    WaitingOrderModel(
            int hosts, List<RequestClass> classes, List<Burst> bursts, boolean ordered, long seed) {
        mClasses = classes;
        mBursts = bursts;
        mOrdered = ordered;
        mArrivals = new Random(seed);
        mRandom = new Random(seed + 1);
        IntStream.range(0, ENGINES).forEach(i -> mEngines.add(new Engine()));
        IntStream.range(0, hosts).forEach(i -> mHosts.add(new Host(i % 3)));
        mTallies = new WaitingOrderTally[classes.size()][bursts.size() + 1];
        for (WaitingOrderTally[] ofClass : mTallies) {
            for (int i = 0; i < ofClass.length; i++) {
                ofClass[i] = new WaitingOrderTally();
            }
        }
    }

    WaitingOrderModel run() {
        IntStream.range(0, mClasses.size()).forEach(this::scheduleArrivals);
        for (long at = 0; at < RUN_MILLIS; at += 100) {
            schedule(at, this::publishReports);
        }
        while (!mActions.isEmpty()) {
            Action action = mActions.poll();
            mNow = action.atMillis();
            action.run().run();
        }
        return this;
    }

    /** Returns the outcome of the requests of a class that arrived in a burst. */
    WaitingOrderTally inBurst(int requestClass, int burst) {
        return mTallies[requestClass][burst];
    }

    /** Returns the outcome of all requests of a class. */
    WaitingOrderTally all(int requestClass) {
        WaitingOrderTally sum = new WaitingOrderTally();
        for (WaitingOrderTally tally : mTallies[requestClass]) {
            sum = sum.plus(tally);
        }
        return sum;
    }

    WaitingOrderTally all() {
        return IntStream.range(0, mClasses.size())
                .mapToObj(this::all)
                .reduce(new WaitingOrderTally(), WaitingOrderTally::plus);
    }

    int calls() {
        return mCalls;
    }

    private void schedule(long atMillis, Runnable run) {
        mActions.add(new Action(atMillis, mNumber++, run));
    }

    private void scheduleArrivals(int requestClass) {
        double at = 0;
        while (true) {
            long now = (long) at;
            double times =
                    mBursts.stream()
                            .filter(burst -> burst.contains(now))
                            .mapToDouble(Burst::times)
                            .findFirst()
                            .orElse(1);
            double perSecond = mClasses.get(requestClass).perSecond() * times;
            at += -Math.log(1 - mArrivals.nextDouble()) * 1_000 / perSecond;
            if (at >= RUN_MILLIS) {
                return;
            }
            arriveAt((long) at, requestClass);
        }
    }

    private void arriveAt(long at, int requestClass) {
        int burst =
                IntStream.range(0, mBursts.size())
                        .filter(i -> mBursts.get(i).contains(at))
                        .findFirst()
                        .orElse(mBursts.size());
        long length = draw(OUTPUT_TOKENS);
        Request request =
                new Request(
                        mClasses.get(requestClass),
                        mHosts.get(mArrivals.nextInt(mHosts.size())),
                        new NewGeneration(draw(PROMPT_TOKENS), draw(length)),
                        length,
                        mTallies[requestClass][burst]);
        request.tally().arrived();
        schedule(at, () -> begin(request, RetryStage.FIRST));
    }

    private long draw(long mean) {
        double factor = Math.exp(SPREAD * mArrivals.nextGaussian() - SPREAD * SPREAD / 2);
        return Math.max(50, Math.round(Math.min(2, factor) * mean));
    }

    private void publishReports() {
        for (Engine engine : mEngines) {
            List<RunningGeneration> state = engine.state(mNow);
            schedule(mNow + REPORT_LAG_MILLIS, () -> engine.mReport = state);
        }
    }

    private void begin(Request request, RetryStage stage) {
        Host host = request.host();
        host.mLengths.started(request.size());
        RequestClass requestClass = request.requestClass();
        Urgency urgency =
                Urgency.of(
                        requestClass.priority(),
                        mClasses.stream().map(RequestClass::priority).toList());
        ReservationWait bounds =
                ReservationWait.begin(
                        mNow, requestClass.limits(), stage, mOrdered ? urgency : Urgency.EQUAL);
        find(new Search(request, bounds, new ReservePacing()));
    }

    private record Search(Request request, ReservationWait bounds, ReservePacing pacing) {}

    private void find(Search search) {
        Host host = search.request().host();
        OptionalInt engine = search.pacing().pauseIsDue() ? OptionalInt.empty() : cheapest(host);
        if (engine.isPresent()) {
            host.mOwn[engine.getAsInt()]++;
            schedule(mNow + CALL_MILLIS, () -> reserve(search, engine.getAsInt()));
        } else if (search.bounds().mayRetry(mNow)) {
            long pause = search.pacing().pauseMillis(search.bounds(), mNow);
            schedule(mNow + pause, () -> find(search));
        } else if (search.bounds().stage() == RetryStage.FIRST) {
            CallerLimits limits = search.request().requestClass().limits();
            double average = host.mCompleted >= 60 ? OUTPUT_TOKENS * MILLIS_PER_TOKEN : 0;
            double delay = CallerRetryDelay.minMillis(average, limits) * (1 + mRandom.nextDouble());
            schedule(mNow + (long) delay, () -> begin(search.request(), RetryStage.RETURNING));
        }
    }

    private OptionalInt cheapest(Host host) {
        int cheapest = -1;
        double lowest = Double.MAX_VALUE;
        for (int engine = 0; engine < ENGINES; engine++) {
            long sinceFull = mNow - host.mFullMillis[engine];
            double cost =
                    4 * host.mOwn[engine]
                            + (engine % 3 == host.mDomain ? 0 : 5)
                            + 30 * Math.max(0, 1 - sinceFull / (double) FULL_DECAY_MILLIS)
                            + mRandom.nextDouble();
            if (sinceFull >= FULL_MILLIS && cost < lowest) {
                cheapest = engine;
                lowest = cost;
            }
        }
        return cheapest < 0 ? OptionalInt.empty() : OptionalInt.of(cheapest);
    }

    private void reserve(Search search, int index) {
        mCalls++;
        Engine engine = mEngines.get(index);
        Host host = search.request().host();
        long tokens = search.request().size().reservedTokens();
        if (engine.free(mNow) < tokens) {
            rejected(search, index);
            return;
        }
        engine.mReserved += tokens;
        boolean due = mNow - host.mReportMillis[index] >= REPORT_INTERVAL_MILLIS;
        if (due) {
            host.mReportMillis[index] = mNow;
            host.mReports.set(index, engine.mReport);
        }
        schedule(mNow + (due ? 2 : 1) * CALL_MILLIS, () -> probe(search, index));
    }

    private void probe(Search search, int index) {
        mCalls++;
        Engine engine = mEngines.get(index);
        Request request = search.request();
        Host host = request.host();
        long age = mNow - host.mReportMillis[index] + REPORT_LAG_MILLIS;
        List<RunningGeneration> report = host.mReports.get(index);
        OptionalLong growth =
                host.mForecast.requiredFreeTokens(
                        new EngineGenerations(
                                MEMORY_TOKENS, report, (long) (age / MILLIS_PER_TOKEN)),
                        request.size());
        OptionalLong average =
                host.mCompleted >= 60
                        ? OptionalLong.of(PROMPT_TOKENS + OUTPUT_TOKENS)
                        : OptionalLong.empty();
        long own = request.size().reservedTokens();
        long headroom = search.bounds().headroomTokens(mNow, own, average);
        long urgent = search.bounds().urgentTokens(mNow, own, average, report);
        engine.mReserved -= own;
        boolean fits =
                growth.isPresent()
                        && engine.free(mNow) >= own + growth.getAsLong() + headroom + urgent;
        if (fits) {
            place(search, index);
        } else {
            rejected(search, index);
        }
    }

    private void rejected(Search search, int index) {
        Host host = search.request().host();
        host.mOwn[index]--;
        host.mFullMillis[index] = mNow;
        search.pacing().rejected();
        find(search);
    }

    private void place(Search search, int index) {
        Request request = search.request();
        Host host = request.host();
        int prefill =
                IntStream.range(0, 2)
                        .map(i -> mRandom.nextInt(PREFILL_ENGINES))
                        .boxed()
                        .min(Comparator.comparing(i -> mPrefillFreeMillis[i]))
                        .orElseThrow();
        long prefilled =
                Math.max(mNow, mPrefillFreeMillis[prefill])
                        + (long) (request.size().promptTokens() / PREFILL_TOKENS_PER_MILLI);
        mPrefillFreeMillis[prefill] = prefilled;
        long first = prefilled + (long) (FIRST_EVENT_MILLIS * (0.7 + 0.6 * mRandom.nextDouble()));
        Generation generation =
                new Generation(
                        request.size(),
                        request.length(),
                        request.requestClass().priority(),
                        host,
                        first);
        mEngines.get(index).mRunning.add(generation);
        RequestClass requestClass = request.requestClass();
        boolean inTime =
                search.bounds().stage() == RetryStage.FIRST
                        && first - search.bounds().startMillis() <= requestClass.targetMillis();
        request.tally().served(inTime, inTime ? requestClass.value() : requestClass.lateValue());
        schedule(
                first + (long) (request.length() * MILLIS_PER_TOKEN), () -> end(generation, index));
    }

    private void end(Generation generation, int index) {
        Engine engine = mEngines.get(index);
        engine.mRunning.remove(generation);
        generation.host().mOwn[index]--;
        generation.host().mCompleted++;
        generation.host().mLengths.ended(generation.size().expectedTokens(), generation.length());
    }
}
