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
import org.cyclamenpaddle.relay.route.EngineShape;

/**
 * Works out the room that must be free at an engine beside a request's place, so that the request
 * and all others there can grow.
 *
 * <p>A host sees only its own part of an engine's work; the engine's report names all of it.
 * Reports are read where a place was kept, so that full engines cost one call each.
 */
final class EngineRoom {

    /** Longest wait for a report, in milliseconds. */
    private static final long CALL_MILLIS = 200;

    /** Age of a report at its arrival, in milliseconds: engines say some hundred. */
    private static final long BORN_OLD_MILLIS = 500;

    private final RelayParts mParts;
    private final RelayRequest mRequest;
    private final EventLoop mLoop;

    EngineRoom(RelayParts parts, RelayRequest request, EventLoop loop) {
        mParts = parts;
        mRequest = request;
        mLoop = loop;
    }

    /**
     * Tells the tokens that must be free at an engine, on the event loop.
     *
     * @param engine the engine
     * @param yields whether room for another request of its size must be left
     * @param done told the tokens; nothing if the engine cannot take the request
     */
    void beside(Backend engine, boolean yields, Consumer<OptionalLong> done) {
        if (mParts.board().reportDue(engine, mParts.clock().millis())) {
            call(engine, () -> done.accept(besideNow(engine, yields)));
        } else {
            done.accept(besideNow(engine, yields));
        }
    }

    private OptionalLong besideNow(Backend engine, boolean yields) {
        long now = mParts.clock().millis();
        EngineShape shape = mRequest.engine().orElseThrow();
        WorkSize size = mRequest.caller().size();
        TimedReport none = new TimedReport(new EngineReport(0, false, List.of()), now);
        TimedReport report = mParts.board().report(engine, now).orElse(none);
        OptionalLong room =
                mParts.demand()
                        .room(
                                mRequest.service(),
                                shape,
                                report.report().work(shape.eventTokens()),
                                report.ageMillis(now) + BORN_OLD_MILLIS,
                                size);
        long left = yields ? size.memoryTokens() : 0;
        return room.isPresent() ? OptionalLong.of(room.getAsLong() + left) : room;
    }

    private void call(Backend engine, Runnable done) {
        mParts.connections()
                .keptClient(engine.address(), engine.port())
                .execute(
                        HttpRequest.of(mParts.engines().report(engine)),
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
                        ? mParts.engines().report(answer)
                        : Either.left(String.valueOf(failure));
        report.peek(told -> mParts.board().reported(engine, told, mParts.clock().millis()))
                .peekLeft(
                        cause -> mParts.log().log(RelayEvent.REPORT_NOT_READ, engine.id(), cause));
    }
}
