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
 * Callers that stream and book at three hosts while faults are injected. Calls, faults and pauses
 * are derived from one seed; thread scheduling is not.
 */
final class FleetChaosRun {

    private static final List<String> HOSTS = List.of("h1", "h2", "h3");
    private static final int CALLERS = 6;
    private static final int STREAM_PERCENT = 65;
    private static final int PERCENT = 100;
    private static final int MAX_ANSWER_TOKENS = 40;
    private static final int MAX_SENDS = 4;
    private static final int MAX_FAULT_INTERVAL_MILLIS = 500;
    private static final String PROMPT = "Visit report, extinguisher round in Narrogin, ";

    private final TestFleet mFleet;
    private final long mSeed;
    private final long mEndNanos;
    private final List<ChaosFault> mInjected = new ArrayList<>();
    private final Queue<String> mViolations = new ConcurrentLinkedQueue<>();
    private final Map<String, String> mLastOutcomes = new ConcurrentHashMap<>();
    private final AtomicInteger mComplete = new AtomicInteger();
    private final AtomicInteger mIncomplete = new AtomicInteger();
    private volatile boolean mStopped;

    FleetChaosRun(TestFleet fleet, long seed, long millis) {
        mFleet = fleet;
        mSeed = seed;
        mEndNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    }

    /**
     * Runs callers and faults until the end time, injects every fault at least once, and then waits
     * until the fleet has recovered.
     */
    void run() {
        ExecutorService threads = Executors.newFixedThreadPool(CALLERS);
        List<CompletableFuture<Void>> callers =
                IntStream.range(0, CALLERS)
                        .mapToObj(
                                number ->
                                        CompletableFuture.runAsync(
                                                () -> callUntilStopped(number), threads))
                        .toList();
        injectFaults();
        ChaosFault.endAll(mFleet);
        mStopped = true;
        callers.forEach(CompletableFuture::join);
        threads.shutdown();
        checkBookings();
        Await.until("engines hold no memory", () -> mFleet.heldPieces() == 0);
        HOSTS.forEach(this::awaitService);
    }

    /** Returns the violated guarantees; empty if there are none. */
    List<String> violations() {
        return List.copyOf(mViolations);
    }

    /**
     * Returns the number of finished responses, all of them complete unless {@link #violations}
     * reports otherwise.
     */
    int completeResponses() {
        return mComplete.get();
    }

    /** Returns the number of keys whose last response was that of the booking. */
    long booked() {
        return mLastOutcomes.values().stream().filter("ran"::equals).count();
    }

    /** Returns counts and faults, to diagnose a failed run. */
    @Override
    public String toString() {
        return "seed %d: %d complete, %d failed as permitted, %d keys, %d booked, faults %s"
                .formatted(
                        mSeed,
                        mComplete.get(),
                        mIncomplete.get(),
                        mLastOutcomes.size(),
                        booked(),
                        mInjected);
    }

    private void injectFaults() {
        UniformRandomProvider random = random(CALLERS);
        do {
            for (ChaosFault fault : ChaosFault.shuffled(random)) {
                fault.inject(mFleet, random);
                mInjected.add(fault);
                Await.pause(random.nextInt(MAX_FAULT_INTERVAL_MILLIS));
            }
        } while (System.nanoTime() < mEndNanos);
    }

    private void callUntilStopped(int number) {
        UniformRandomProvider random = random(number);
        for (int i = 0; !mStopped; i++) {
            String name = number + "-" + i;
            Try.run(() -> call(name, random))
                    .onFailure(failure -> mViolations.add("call " + name + " failed: " + failure));
        }
    }

    private void call(String name, UniformRandomProvider random) {
        if (random.nextInt(PERCENT) < STREAM_PERCENT) {
            stream(host(random), PROMPT + name, 1 + random.nextInt(MAX_ANSWER_TOKENS));
        } else {
            book("key-" + name, random);
        }
    }

    private void stream(String host, String prompt, int tokens) {
        HttpResponse<String> response = mFleet.caller(host).complete(prompt, tokens, true);
        if (response.body().contains("event: error") || response.statusCode() != 200) {
            mIncomplete.incrementAndGet();
        } else {
            finished(host, response, CompletionText.generate(prompt, tokens));
        }
    }

    private void finished(String host, HttpResponse<String> response, String expected) {
        String text = Caller.text(response.body());
        if (text.equals(expected)) {
            mComplete.incrementAndGet();
            return;
        }
        String request = response.headers().firstValue("X-Request-Id").orElse("");
        mViolations.add(
                "received: %s%n expected: %s%n explanation: %s"
                        .formatted(text, expected, mFleet.operator(host).explain(request)));
    }

    /**
     * Sends a booking and resends it at random hosts until it ran, at most {@link #MAX_SENDS} times
     * in all.
     */
    private void book(String key, UniformRandomProvider random) {
        String outcome = "";
        for (int i = 0; i < MAX_SENDS && !outcome.equals("ran"); i++) {
            HttpResponse<String> response = mFleet.caller(host(random)).book(key, "1");
            outcome = outcome(response);
            if (outcome.equals("not-run") && mFleet.runs(key) > 0) {
                mViolations.add(key + " ran, but the response was " + response.body());
            }
        }
        mLastOutcomes.put(key, outcome);
    }

    private String outcome(HttpResponse<String> response) {
        return response.statusCode() == 200
                ? "ran"
                : mFleet.caller(HOSTS.get(0)).problem(response).path("outcome").asText();
    }

    private void checkBookings() {
        mLastOutcomes.forEach(
                (key, outcome) -> {
                    int runs = mFleet.runs(key);
                    boolean missing = outcome.equals("ran") && runs == 0;
                    boolean repeated = runs > (outcome.equals("not-run") ? 0 : 1);
                    if (missing || repeated) {
                        mViolations.add(key + " ran " + runs + " times, last outcome " + outcome);
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
