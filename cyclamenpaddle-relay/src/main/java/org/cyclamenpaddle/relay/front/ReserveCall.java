package org.cyclamenpaddle.relay.front;

import com.linecorp.armeria.client.RequestOptions;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.RequestHeaders;
import io.netty.channel.EventLoop;
import io.vavr.control.Either;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Function;
import org.cyclamenpaddle.relay.backend.Backend;
import org.cyclamenpaddle.relay.backend.SendOutcome;
import org.cyclamenpaddle.relay.log.RelayEvent;

/**
 * Asks one engine to keep memory for one request.
 *
 * <p>Engines answer from what is free now, which also counts what other hosts have just had.
 */
final class ReserveCall {

    /**
     * What the engine said.
     *
     * @param reservation name of the place; empty if there is none
     * @param outcome how the ask ended: {@link SendOutcome#ABANDONED} for an engine that is full,
     *     which says nothing against it
     * @param cause in words, where the engine did not answer as it should
     */
    record Answer(Optional<String> reservation, SendOutcome outcome, String cause) {

        boolean kept() {
            return reservation.isPresent();
        }

        boolean full() {
            return !kept() && outcome == SendOutcome.ABANDONED;
        }
    }

    /** What an engine would answer that cannot take the request. */
    static final Answer NO_ROOM = new Answer(Optional.empty(), SendOutcome.ABANDONED, "none");

    /** Longest wait for the answer of an engine, in milliseconds; usual ones take under 10. */
    private static final long CALL_MILLIS = 300;

    private final RelayContext mRelay;
    private final RelayRequest mRequest;
    private final EventLoop mLoop;
    private final Backend mEngine;

    private ReserveCall(RelayContext relay, RelayRequest request, EventLoop loop, Backend engine) {
        mRelay = relay;
        mRequest = request;
        mLoop = loop;
        mEngine = engine;
    }

    /** Asks an engine to keep a request's place; {@code done} is told on the event loop. */
    static void send(
            RelayContext relay,
            RelayRequest request,
            EventLoop loop,
            Backend engine,
            Consumer<Answer> done) {
        ReserveCall ask = new ReserveCall(relay, request, loop, engine);
        long tokens = request.caller().size().memoryTokens();
        long keptMillis = request.engine().orElseThrow().maxReservationMillis();
        ask.keep(tokens, keptMillis, true).thenAcceptAsync(done, loop);
    }

    /**
     * Asks an engine whether more memory is free, and gives that back at once.
     *
     * <p>What is kept stays kept for as long as a request runs, also a part that it never uses; so
     * the room that it will grow into is not kept with its place.
     */
    static void probe(
            RelayContext relay,
            RelayRequest request,
            EventLoop loop,
            Backend engine,
            long tokens,
            Consumer<Answer> done) {
        ReserveCall ask = new ReserveCall(relay, request, loop, engine);
        ask.keep(tokens, CALL_MILLIS, true)
                .thenAcceptAsync(
                        answer -> {
                            answer.reservation().ifPresent(name -> cancel(relay, engine, name));
                            done.accept(answer);
                        },
                        loop);
    }

    /** Gives a kept place back that no request will take. */
    static void cancel(RelayContext relay, Backend engine, String reservation) {
        quietly(relay, engine, relay.engineMessages().cancel(reservation));
    }

    /** Makes a call whose failure harms nothing, since what it frees lapses by itself. */
    static void quietly(RelayContext relay, Backend backend, RequestHeaders call) {
        relay.connections()
                .keepAliveClient(backend.address(), backend.port())
                .execute(
                        HttpRequest.of(call),
                        RequestOptions.builder().responseTimeoutMillis(CALL_MILLIS).build())
                .aggregate()
                .exceptionally(
                        failure -> {
                            relay.log().log(RelayEvent.RELEASE_FAILED, backend.id(), failure);
                            return null;
                        });
    }

    private CompletableFuture<Answer> keep(long tokens, long millis, boolean keptConnection) {
        long askedMillis = mRelay.clock().millis();
        return mRelay.connections()
                .client(mEngine.address(), mEngine.port(), keptConnection)
                .execute(
                        mRelay.engineMessages().reserve(mEngine, tokens, millis).toHttpRequest(),
                        RequestOptions.builder().responseTimeoutMillis(CALL_MILLIS).build())
                .aggregate()
                .handle(
                        (answer, failure) -> {
                            long spent = mRelay.clock().millis() - askedMillis;
                            // A kept connection may have been closed while it was idle.
                            return keptConnection && failure != null && spent < CALL_MILLIS
                                    ? keep(tokens, millis, false)
                                    : CompletableFuture.completedFuture(answer(answer, failure));
                        })
                .thenCompose(Function.identity());
    }

    private Answer answer(AggregatedHttpResponse answer, Throwable failure) {
        if (failure != null) {
            return new Answer(Optional.empty(), SendOutcome.NOT_SENT, String.valueOf(failure));
        }
        if (answer.status().equals(HttpStatus.MISDIRECTED_REQUEST)) {
            return new Answer(Optional.empty(), SendOutcome.MISDIRECTED, "another engine");
        }
        Either<String, Optional<String>> kept = mRelay.engineMessages().reservation(answer);
        return kept.fold(
                problem -> new Answer(Optional.empty(), SendOutcome.NOT_SENT, problem),
                name -> new Answer(name, SendOutcome.ABANDONED, "none"));
    }
}
