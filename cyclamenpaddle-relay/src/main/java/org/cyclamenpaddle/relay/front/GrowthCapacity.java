package org.cyclamenpaddle.relay.front;

import com.linecorp.armeria.client.RequestOptions;
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
import org.cyclamenpaddle.routing.reservation.ReservationWait;

/**
 * Works out the room that must be free at an engine beside a request's place, so that the request
 * and all others there can grow.
 *
 * <p>A host sees only its own part of an engine's work; the engine's report names all of it.
 * Reports are read where a place was kept, so that full engines cost one call each.
 */
final class GrowthCapacity {

    /** Longest wait for a report, in milliseconds. */
    private static final long CALL_MILLIS = 200;

    /** Age of a report at its arrival, in milliseconds: engines say some hundred. */
    private static final long BORN_OLD_MILLIS = 500;

    private final RelayContext mRelay;
    private final RelayRequest mRequest;
    private final EventLoop mLoop;

    GrowthCapacity(RelayContext relay, RelayRequest request, EventLoop loop) {
        mRelay = relay;
        mRequest = request;
        mLoop = loop;
    }

    /**
     * Tells the tokens that must be free at an engine, on the event loop.
     *
     * @param engine the engine
     * @param wait the search's wait, which decides about room for other requests
     * @param done told the tokens; nothing if the engine cannot take the request
     */
    void beside(Backend engine, ReservationWait wait, Consumer<OptionalLong> done) {
        if (mRelay.board().reportDue(engine, mRelay.clock().millis())) {
            call(engine, () -> done.accept(besideNow(engine, wait)));
        } else {
            done.accept(besideNow(engine, wait));
        }
    }

    private OptionalLong besideNow(Backend engine, ReservationWait wait) {
        long now = mRelay.clock().millis();
        EngineProfile shape = mRequest.engine().orElseThrow();
        WorkSize size = mRequest.caller().size();
        TimedReport none = new TimedReport(new EngineReport(0, false, List.of()), now);
        TimedReport report = mRelay.board().report(engine, now).orElse(none);
        OptionalLong room =
                mRelay.demand()
                        .requiredFreeTokens(
                                mRequest.service(),
                                shape,
                                report.report().runningWork(shape.tokensPerEvent()),
                                report.ageMillis(now) + BORN_OLD_MILLIS,
                                size);
        long left = wait.headroomTokens(now, size.memoryTokens(), usualTokens());
        return room.isPresent() ? OptionalLong.of(room.getAsLong() + left) : room;
    }

    private OptionalLong usualTokens() {
        return mRelay.demand().of(mRequest.service()).stream()
                .mapToLong(usual -> Math.round(usual.promptTokens() + usual.outputTokens()))
                .findFirst();
    }

    private void call(Backend engine, Runnable done) {
        mRelay.connections()
                .keepAliveClient(engine.address(), engine.port())
                .execute(
                        HttpRequest.of(mRelay.engineMessages().report(engine)),
                        RequestOptions.builder().responseTimeoutMillis(CALL_MILLIS).build())
                .aggregate()
                .whenCompleteAsync(
                        (answer, failure) -> {
                            take(engine, answer, failure);
                            done.run();
                        },
                        mLoop);
    }

    private void take(Backend engine, AggregatedHttpResponse answer, Throwable failure) {
        Either<String, EngineReport> report =
                failure == null
                        ? mRelay.engineMessages().report(answer)
                        : Either.left(String.valueOf(failure));
        report.peek(told -> mRelay.board().recordReport(engine, told, mRelay.clock().millis()))
                .peekLeft(cause -> mRelay.log().log(RelayEvent.REPORT_FAILED, engine.id(), cause));
    }
}
