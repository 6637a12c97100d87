package org.cyclamenpaddle.standins.plain;

import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.server.ServerBuilder;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.cyclamenpaddle.standins.http.Answers;
import org.cyclamenpaddle.standins.http.StandinServer;

/**
 * Booking service: {@code POST /book} must not repeat, {@code GET /stock} may.
 *
 * <p>It does not deduplicate, so that a second run of a key is seen in {@link #runs}.
 */
public final class PlainServiceStandin implements AutoCloseable {

    private static final String KEY_HEADER = "idempotency-key";

    private final StandinServer mServer = new StandinServer(this::routes);
    private final Map<String, AtomicInteger> mRuns = new ConcurrentHashMap<>();
    private final AtomicLong mBookings = new AtomicLong();
    private final AtomicLong mCalls = new AtomicLong();
    private final AtomicInteger mFailBeforeRun = new AtomicInteger();
    private final AtomicInteger mLoseAnswers = new AtomicInteger();
    private volatile long mDelayMillis;

    /**
     * Fault switches as scripts post them to {@code /standin/faults}.
     *
     * @param delayMillis wait before each run, in milliseconds
     * @param failBeforeRun next calls that fail before they run
     * @param loseAnswers next calls that run and then lose their connection
     */
    public record Faults(long delayMillis, int failBeforeRun, int loseAnswers) {}

    /** Body of a booking, which {@code lot} names. */
    private record Booking(String lot) {}

    /** Starts listening; {@code port} 0 takes any. */
    public void start(int port) {
        mServer.start(port);
    }

    /** Returns the port it listens on. */
    public int port() {
        return mServer.port();
    }

    @Override
    public void close() {
        mServer.stop();
    }

    /** Returns how often a booking of {@code key} ran. */
    public int runs(String key) {
        AtomicInteger runs = mRuns.get(key);
        return runs == null ? 0 : runs.get();
    }

    /** Returns the calls that came in, also those that have not run. */
    public long calls() {
        return mCalls.get();
    }

    /** Returns the bookings run under any key. */
    public long bookings() {
        return mBookings.get();
    }

    /** Delays every call before it runs, in milliseconds. */
    public void delay(long millis) {
        mDelayMillis = millis;
    }

    /** Makes the next {@code calls} fail with 503 before they run. */
    public void failBeforeRun(int calls) {
        mFailBeforeRun.set(calls);
    }

    /** Makes the next {@code calls} run and then lose their connection. */
    public void loseResponses(int calls) {
        mLoseAnswers.set(calls);
    }

    private void routes(ServerBuilder builder) {
        builder.route().post("/book").build((ctx, req) -> delayed(ctx, () -> book(ctx)));
        builder.route().get("/stock").build((ctx, req) -> delayed(ctx, () -> stock(ctx)));
        builder.route()
                .get("/standin/runs")
                .build(
                        (ctx, req) -> {
                            String key = ctx.queryParams().get("key", "");
                            return Answers.ok(Map.of("key", key, "runs", runs(key)));
                        });
        builder.route()
                .post("/standin/faults")
                .build((ctx, req) -> Answers.withBody(ctx, Faults.class, this::apply));
    }

    private HttpResponse apply(Faults faults) {
        delay(faults.delayMillis());
        failBeforeRun(faults.failBeforeRun());
        loseResponses(faults.loseAnswers());
        return Answers.ok(faults);
    }

    private HttpResponse delayed(
            ServiceRequestContext ctx, java.util.function.Supplier<HttpResponse> call) {
        mCalls.incrementAndGet();
        long delayMillis = mDelayMillis;
        return delayMillis == 0
                ? call.get()
                : HttpResponse.delayed(call, Duration.ofMillis(delayMillis), ctx.eventLoop());
    }

    private HttpResponse book(ServiceRequestContext ctx) {
        return Answers.withBody(ctx, Booking.class, booking -> run(ctx, booking));
    }

    private HttpResponse run(ServiceRequestContext ctx, Booking booking) {
        if (taken(mFailBeforeRun)) {
            return Answers.error(
                    HttpStatus.SERVICE_UNAVAILABLE, "failed", "failed before the booking ran");
        }
        String key = ctx.request().headers().get(KEY_HEADER, "");
        mRuns.computeIfAbsent(key, k -> new AtomicInteger()).incrementAndGet();
        long number = mBookings.incrementAndGet();
        if (taken(mLoseAnswers)) {
            return Answers.dropConnection(ctx);
        }
        String lot = booking.lot() == null ? "" : booking.lot();
        return Answers.ok(Map.of("lot", lot, "booking", number));
    }

    private HttpResponse stock(ServiceRequestContext ctx) {
        if (taken(mFailBeforeRun)) {
            return Answers.error(HttpStatus.SERVICE_UNAVAILABLE, "failed", "no stock read");
        }
        if (taken(mLoseAnswers)) {
            return Answers.dropConnection(ctx);
        }
        return Answers.ok(Map.of("booked", mBookings.get()));
    }

    private static boolean taken(AtomicInteger left) {
        return left.getAndUpdate(n -> Math.max(0, n - 1)) > 0;
    }
}
