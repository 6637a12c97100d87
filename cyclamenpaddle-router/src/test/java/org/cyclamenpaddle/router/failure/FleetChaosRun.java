package org.cyclamenpaddle.router.failure;

import io.vavr.control.Try;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.cyclamenpaddle.router.fixture.Await;
import org.cyclamenpaddle.router.fixture.Caller;
import org.cyclamenpaddle.router.fixture.TestFleet;
import org.cyclamenpaddle.standins.engine.CompletionText;

/**
 * Callers stream and book at three hosts while faults come; what callers, faults and pauses are
 * comes from one seed, what the threads make of it does not.
 */
final class FleetChaosRun {

    private static final List<String> HOSTS = List.of("h1", "h2", "h3");
    private static final int CALLERS = 6;
    private static final int STREAM_PERCENT = 65;
    private static final int PERCENT = 100;
    private static final int LONGEST_ANSWER = 40;
    private static final int SENDS = 4;
    private static final int LONGEST_CALM_MILLIS = 500;
    private static final String PROMPT = "Visit report, extinguisher round in Narrogin, ";

    private final TestFleet mFleet;
    private final long mSeed;
    private final long mEndNanos;
    private final List<ChaosFault> mInjected = new ArrayList<>();
    private final Queue<String> mWrong = new ConcurrentLinkedQueue<>();
    private final Map<String, String> mLastOutcomes = new ConcurrentHashMap<>();
    private final AtomicInteger mWhole = new AtomicInteger();
    private final AtomicInteger mNotWhole = new AtomicInteger();
    private volatile boolean mEnough;

    FleetChaosRun(TestFleet fleet, long seed, long millis) {
        mFleet = fleet;
        mSeed = seed;
        mEndNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    }

    /** Runs callers and faults to the end, and at least every fault once; then lets all settle. */
    void run() {
        ExecutorService threads = Executors.newFixedThreadPool(CALLERS);
        List<CompletableFuture<Void>> callers =
                IntStream.range(0, CALLERS)
                        .mapToObj(
                                number ->
                                        CompletableFuture.runAsync(
                                                () -> keepCalling(number), threads))
                        .toList();
        injectFaults();
        ChaosFault.endAll(mFleet);
        mEnough = true;
        callers.forEach(CompletableFuture::join);
        threads.shutdown();
        checkBookings();
        Await.until("engines hold nothing", () -> mFleet.heldPieces() == 0);
        HOSTS.forEach(this::awaitService);
    }

    /** Returns what broke a promise; empty if nothing did. */
    List<String> wrong() {
        return List.copyOf(mWrong);
    }

    /** Returns finished answers, all of them whole unless {@link #wrong} says otherwise. */
    int whole() {
        return mWhole.get();
    }

    /** Returns keys whose last answer was that of the booking. */
    long booked() {
        return mLastOutcomes.values().stream().filter("ran"::equals).count();
    }

    /** Returns figures and faults, for whoever looks into a failed run. */
    @Override
    public String toString() {
        return "seed %d: %d whole, %d failed as they may, %d keys, %d booked, faults %s"
                .formatted(
                        mSeed,
                        mWhole.get(),
                        mNotWhole.get(),
                        mLastOutcomes.size(),
                        booked(),
                        mInjected);
    }

    private void injectFaults() {
        UniformRandomProvider random = random(CALLERS);
        do {
            for (ChaosFault fault : ChaosFault.round(random)) {
                fault.inject(mFleet, random);
                mInjected.add(fault);
                Await.pause(random.nextInt(LONGEST_CALM_MILLIS));
            }
        } while (System.nanoTime() < mEndNanos);
    }

    private void keepCalling(int number) {
        UniformRandomProvider random = random(number);
        for (int i = 0; !mEnough; i++) {
            String name = number + "-" + i;
            Try.run(() -> call(name, random))
                    .onFailure(cut -> mWrong.add("call " + name + " was cut off: " + cut));
        }
    }

    private void call(String name, UniformRandomProvider random) {
        if (random.nextInt(PERCENT) < STREAM_PERCENT) {
            stream(host(random), PROMPT + name, 1 + random.nextInt(LONGEST_ANSWER));
        } else {
            book("key-" + name, random);
        }
    }

    private void stream(String host, String prompt, int tokens) {
        HttpResponse<String> answer = mFleet.caller(host).complete(prompt, tokens, true);
        if (answer.body().contains("event: error") || answer.statusCode() != 200) {
            mNotWhole.incrementAndGet();
        } else {
            finished(host, answer, CompletionText.generate(prompt, tokens));
        }
    }

    private void finished(String host, HttpResponse<String> answer, String whole) {
        String text = Caller.text(answer.body());
        if (text.equals(whole)) {
            mWhole.incrementAndGet();
            return;
        }
        String request = answer.headers().firstValue("X-Request-Id").orElse("");
        mWrong.add(
                "answered: %s%n whole: %s%n explained: %s"
                        .formatted(text, whole, mFleet.operator(host).explain(request)));
    }

    /** Sends a booking, and resends it anywhere until it ran, or its caller has had enough. */
    private void book(String key, UniformRandomProvider random) {
        String outcome = "";
        for (int i = 0; i < SENDS && !outcome.equals("ran"); i++) {
            HttpResponse<String> answer = mFleet.caller(host(random)).book(key, "1");
            outcome = outcome(answer);
            if (outcome.equals("not-run") && mFleet.runs(key) > 0) {
                mWrong.add(key + " ran and was answered " + answer.body());
            }
        }
        mLastOutcomes.put(key, outcome);
    }

    private String outcome(HttpResponse<String> answer) {
        return answer.statusCode() == 200
                ? "ran"
                : mFleet.caller(HOSTS.get(0)).problem(answer).path("outcome").asText();
    }

    private void checkBookings() {
        mLastOutcomes.forEach(
                (key, outcome) -> {
                    int runs = mFleet.runs(key);
                    boolean few = outcome.equals("ran") && runs == 0;
                    boolean many = runs > (outcome.equals("not-run") ? 0 : 1);
                    if (few || many) {
                        mWrong.add(key + " ran " + runs + " times, last outcome " + outcome);
                    }
                });
    }

    private void awaitService(String host) {
        Await.until(
                host + " serves again",
                () -> mFleet.caller(host).complete(PROMPT + host, 2, true).statusCode() == 200);
    }

    private UniformRandomProvider random(int stream) {
        return RandomSource.XO_RO_SHI_RO_128_PP.create(new long[] {mSeed, stream + 1L});
    }

    private static String host(UniformRandomProvider random) {
        return HOSTS.get(random.nextInt(HOSTS.size()));
    }
}
