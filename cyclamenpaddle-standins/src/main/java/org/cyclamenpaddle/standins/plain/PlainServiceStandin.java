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
import org.cyclamenpaddle.standins.http.JsonResponses;
import org.cyclamenpaddle.standins.http.StandinServer;

/**
 * Booking service whose {@code POST /book} is not idempotent and whose {@code GET /stock} is.
 *
 * <p>It does not deduplicate requests, so that {@link #runs} shows a repeated execution of a key.
 */
public final class PlainServiceStandin implements AutoCloseable {

    private static final String KEY_HEADER = "idempotency-key";

    private final StandinServer mServer = new StandinServer(this::routes);
    private final Map<String, AtomicInteger> mRuns = new ConcurrentHashMap<>();
    private final AtomicLong mBookings = new AtomicLong();
    private final AtomicLong mCalls = new AtomicLong();
    private final AtomicInteger mFailBeforeRun = new AtomicInteger();
    private final AtomicInteger mResponsesToLose = new AtomicInteger();
    private volatile long mDelayMillis;

    /**
     * Body of {@code POST /standin/faults}.
     *
     * @param delayMillis delay before each execution, in milliseconds
     * @param failBeforeRun number of next calls that fail before they run
     * @param loseAnswers number of next calls that run and then drop their connection
     */
    public record Faults(long delayMillis, int failBeforeRun, int loseAnswers) {}

    /** Body of a booking request for {@code lot}. */
    private record Booking(String lot) {}

    /** Starts listening on {@code port}; 0 selects a free port. */
    public void start(int port) {
        mServer.start(port);
    }

    /** Returns the listening port. */
    public int port() {
        return mServer.port();
    }

    @Override
    public void close() {
        mServer.stop();
    }

    /** Returns how many times a booking with {@code key} ran. */
    public int runs(String key) {
        AtomicInteger runs = mRuns.get(key);
        return runs == null ? 0 : runs.get();
    }

    /** Returns the number of calls received, including those that did not run. */
    public long calls() {
        return mCalls.get();
    }

    /** Returns the number of bookings run, over all keys. */
    public long bookings() {
        return mBookings.get();
    }

    /** Delays every call by {@code millis} before it runs. */
    public void delay(long millis) {
        mDelayMillis = millis;
    }

    /** Makes the next {@code calls} calls fail with 503 before they run. */
    public void failBeforeRun(int calls) {
        mFailBeforeRun.set(calls);
    }

    /** Makes the next {@code calls} calls run and then drop their connection. */
    public void loseResponses(int calls) {
        mResponsesToLose.set(calls);
    }

    private void routes(ServerBuilder builder) {
        builder.route().post("/book").build((ctx, req) -> delayed(ctx, () -> book(ctx)));
        builder.route().get("/stock").build((ctx, req) -> delayed(ctx, () -> stock(ctx)));
        builder.route()
                .get("/standin/runs")
                .build(
                        (ctx, req) -> {
                            String key = ctx.queryParams().get("key", "");
                            return JsonResponses.ok(Map.of("key", key, "runs", runs(key)));
                        });
        builder.route()
                .post("/standin/faults")
                .build((ctx, req) -> JsonResponses.withBody(ctx, Faults.class, this::apply));
    }

    private HttpResponse apply(Faults faults) {
        delay(faults.delayMillis());
        failBeforeRun(faults.failBeforeRun());
        loseResponses(faults.loseAnswers());
        return JsonResponses.ok(faults);
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
        return JsonResponses.withBody(ctx, Booking.class, booking -> run(ctx, booking));
    }

    private HttpResponse run(ServiceRequestContext ctx, Booking booking) {
        if (consume(mFailBeforeRun)) {
            return JsonResponses.error(
                    HttpStatus.SERVICE_UNAVAILABLE, "failed", "failed before the booking ran");
        }
        String key = ctx.request().headers().get(KEY_HEADER, "");
        mRuns.computeIfAbsent(key, k -> new AtomicInteger()).incrementAndGet();
        long number = mBookings.incrementAndGet();
        if (consume(mResponsesToLose)) {
            return JsonResponses.dropConnection(ctx);
        }
        String lot = booking.lot() == null ? "" : booking.lot();
        return JsonResponses.ok(Map.of("lot", lot, "booking", number));
    }

    private HttpResponse stock(ServiceRequestContext ctx) {
        if (consume(mFailBeforeRun)) {
            return JsonResponses.error(HttpStatus.SERVICE_UNAVAILABLE, "failed", "no stock read");
        }
        if (consume(mResponsesToLose)) {
            return JsonResponses.dropConnection(ctx);
        }
        return JsonResponses.ok(Map.of("booked", mBookings.get()));
    }

    private static boolean consume(AtomicInteger remaining) {
        return remaining.getAndUpdate(n -> Math.max(0, n - 1)) > 0;
    }
}
