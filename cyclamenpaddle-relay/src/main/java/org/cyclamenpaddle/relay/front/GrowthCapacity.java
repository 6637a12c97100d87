package org.cyclamenpaddle.relay.front;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpRequest;
import io.netty.channel.EventLoop;
import io.vavr.control.Either;
import java.util.List;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.cyclamenpaddle.relay.backend.Backend;
import org.cyclamenpaddle.relay.backend.EngineReport;
import org.cyclamenpaddle.relay.backend.TimedReport;
import org.cyclamenpaddle.relay.backend.WorkSize;
import org.cyclamenpaddle.relay.log.RelayEvent;
import org.cyclamenpaddle.relay.route.EngineProfile;
import org.cyclamenpaddle.relay.wire.BackendCaller;
import org.cyclamenpaddle.routing.memory.RunningGeneration;
import org.cyclamenpaddle.routing.reservation.ReservationWait;

/**
 * Computes the free memory that an engine needs beyond a request's reservation so that this request
 * and all others on it can grow.
 *
 * <p>A host sees only its own share of an engine's load, whereas the engine's report covers all of
 * it. Reports are fetched only after a reservation was granted, so that a full engine costs a
 * single call.
 */
final class GrowthCapacity {

    /** Timeout of a report call, in milliseconds. */
    private static final long REPORT_TIMEOUT_MILLIS = 200;

    /**
     * Assumed age of a report on arrival, in milliseconds; engines report with a lag of some
     * hundred milliseconds.
     */
    private static final long REPORT_DELAY_MILLIS = 500;

    private final RelayContext mRelay;
    private final RelayRequest mRequest;
    private final EventLoop mLoop;
    private long mUrgentTokens;

    GrowthCapacity(RelayContext relay, RelayRequest request, EventLoop loop) {
        mRelay = relay;
        mRequest = request;
        mLoop = loop;
    }

    /**
     * Computes the number of tokens that must be free on an engine.
     *
     * @param engine engine to examine
     * @param wait wait of the search, which determines the memory to leave for other requests
     * @param done called on the event loop with the number of tokens; empty if the engine cannot
     *     take the request
     */
    void requiredTokens(Backend engine, ReservationWait wait, Consumer<OptionalLong> done) {
        if (mRelay.registry().directives().restricts(engine, mRelay.clock().millis())) {
            // Neither a report nor a reservation for growth is worth one of the permitted calls.
            done.accept(OptionalLong.of(0));
        } else if (mRelay.registry().reportDue(engine, mRelay.clock().millis())) {
            fetchReport(engine, () -> done.accept(requiredTokensNow(engine, wait)));
        } else {
            done.accept(requiredTokensNow(engine, wait));
        }
    }

    private OptionalLong requiredTokensNow(Backend engine, ReservationWait wait) {
        long now = mRelay.clock().millis();
        EngineProfile profile = mRequest.engine().orElseThrow();
        WorkSize size = mRequest.caller().size();
        TimedReport none = new TimedReport(new EngineReport(0, false, List.of()), now);
        TimedReport report = mRelay.registry().report(engine, now).orElse(none);
        List<RunningGeneration> running = report.report().runningWork(profile.tokensPerEvent());
        OptionalLong growth =
                mRelay.demand()
                        .requiredFreeTokens(
                                mRequest.service(),
                                profile,
                                running,
                                report.ageMillis(now) + REPORT_DELAY_MILLIS,
                                size);
        OptionalLong average = averageTokens();
        mUrgentTokens = wait.urgentTokens(now, size.memoryTokens(), average, running);
        long headroom = wait.headroomTokens(now, size.memoryTokens(), average) + mUrgentTokens;
        return growth.isPresent() ? OptionalLong.of(growth.getAsLong() + headroom) : growth;
    }

    /** Returns the memory that the last check left free for more urgent requests. */
    long urgentTokens() {
        return mUrgentTokens;
    }

    private OptionalLong averageTokens() {
        return mRelay.demand().of(mRequest.service()).stream()
                .mapToLong(average -> Math.round(average.promptTokens() + average.outputTokens()))
                .findFirst();
    }

    private void fetchReport(Backend engine, Runnable done) {
        mRelay.calls()
                .call(
                        engine,
                        new BackendCaller.Options(
                                true, REPORT_TIMEOUT_MILLIS, BackendCaller.Purpose.WORK, "report"),
                        HttpRequest.of(mRelay.engineMessages().report(engine)))
                .whenCompleteAsync(
                        (response, failure) -> {
                            handleReport(engine, response, failure);
                            done.run();
                        },
                        mLoop);
    }

    private void handleReport(Backend engine, AggregatedHttpResponse response, Throwable failure) {
        Either<String, EngineReport> report =
                failure == null
                        ? mRelay.engineMessages().report(response)
                        : Either.left(String.valueOf(failure));
        report.peek(
                        decoded ->
                                mRelay.registry()
                                        .recordReport(engine, decoded, mRelay.clock().millis()))
                .peekLeft(cause -> mRelay.log().log(RelayEvent.REPORT_FAILED, engine.id(), cause));
    }
}
