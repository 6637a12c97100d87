package org.cyclamenpaddle.relay.front;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.RequestHeaders;
import io.netty.channel.EventLoop;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Function;
import org.cyclamenpaddle.engine.http.CallFailure;
import org.cyclamenpaddle.relay.backend.Backend;
import org.cyclamenpaddle.relay.backend.SendOutcome;
import org.cyclamenpaddle.relay.log.RelayEvent;
import org.cyclamenpaddle.relay.wire.BackendCaller;
import org.cyclamenpaddle.relay.wire.Reservation;

/**
 * Reserves memory for one request on one engine.
 *
 * <p>Engines decide by the memory that is free now, which also accounts for reservations that other
 * hosts have just made.
 */
final class ReserveCall {

    /**
     * Result of a reservation call.
     *
     * @param reservation name of the reservation; empty if there is none
     * @param outcome outcome of the call: {@link SendOutcome#ABANDONED} for a full engine, which is
     *     not counted as a failure
     * @param cause description of an unexpected response; {@code none} otherwise
     */
    record Result(Optional<String> reservation, SendOutcome outcome, String cause) {

        boolean granted() {
            return reservation.isPresent();
        }

        boolean full() {
            return !granted() && outcome == SendOutcome.ABANDONED;
        }
    }

    /** Result that stands for an engine with too little free memory. */
    static final Result NO_CAPACITY = new Result(Optional.empty(), SendOutcome.ABANDONED, "none");

    /** Timeout of a call, in milliseconds; typical calls take under 10. */
    private static final long CALL_TIMEOUT_MILLIS = 300;

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

    /** Reserves memory for a request; {@code done} is called on the event loop. */
    static void reserve(
            RelayContext relay,
            RelayRequest request,
            EventLoop loop,
            Backend engine,
            Consumer<Result> done) {
        ReserveCall call = new ReserveCall(relay, request, loop, engine);
        long tokens = request.caller().size().memoryTokens();
        long holdMillis = request.engine().orElseThrow().maxReservationMillis();
        call.requestReservation(tokens, holdMillis, true).thenAcceptAsync(done, loop);
    }

    /**
     * Checks whether an engine has more free memory by a reservation that is cancelled at once.
     *
     * <p>Memory that is reserved stays reserved for as long as the request runs, also the part that
     * it never uses. The memory for its growth is therefore checked but not reserved.
     */
    static void probe(
            RelayContext relay,
            RelayRequest request,
            EventLoop loop,
            Backend engine,
            long tokens,
            Consumer<Result> done) {
        ReserveCall call = new ReserveCall(relay, request, loop, engine);
        call.requestReservation(tokens, CALL_TIMEOUT_MILLIS, true)
                .thenAcceptAsync(
                        response -> {
                            response.reservation().ifPresent(name -> cancel(relay, engine, name));
                            done.accept(response);
                        },
                        loop);
    }

    /** Cancels a reservation that no request will use. */
    static void cancel(RelayContext relay, Backend engine, String reservation) {
        sendIgnoringFailure(relay, engine, relay.engineMessages().cancel(engine, reservation));
    }

    /**
     * Makes a call whose failure is only logged, since the memory it frees is released by expiry
     * anyway.
     */
    static void sendIgnoringFailure(RelayContext relay, Backend backend, RequestHeaders call) {
        if (!relay.registry().directives().tryRelease(backend, relay.clock().millis())) {
            relay.log().log(RelayEvent.RELEASE_FAILED, backend.id(), "server asks for fewer calls");
            return;
        }
        relay.calls()
                .call(
                        backend,
                        options(true, BackendCaller.Purpose.RELEASE, "release"),
                        HttpRequest.of(call))
                .exceptionally(
                        failure -> {
                            relay.log().log(RelayEvent.RELEASE_FAILED, backend.id(), failure);
                            return null;
                        });
    }

    private CompletableFuture<Result> requestReservation(long tokens, long millis, boolean pooled) {
        long startMillis = mRelay.clock().millis();
        return mRelay.calls()
                .call(
                        mEngine,
                        options(pooled, BackendCaller.Purpose.WORK, mRequest.caller().id()),
                        mRelay.engineMessages().reserve(mEngine, tokens, millis).toHttpRequest())
                .handle(
                        (response, failure) -> {
                            long spent = mRelay.clock().millis() - startMillis;
                            // A pooled connection may have been closed while it was idle.
                            boolean mayResend =
                                    pooled && failure != null && spent < CALL_TIMEOUT_MILLIS;
                            return mayResend
                                            && mRelay.registry()
                                                    .directives()
                                                    .tryCall(mEngine, 1, mRelay.clock().millis())
                                    ? requestReservation(tokens, millis, false)
                                    : CompletableFuture.completedFuture(result(response, failure));
                        })
                .thenCompose(Function.identity());
    }

    private static BackendCaller.Options options(
            boolean keepAlive, BackendCaller.Purpose purpose, String cause) {
        return new BackendCaller.Options(keepAlive, CALL_TIMEOUT_MILLIS, purpose, cause);
    }

    private Result result(AggregatedHttpResponse response, Throwable failure) {
        if (failure != null) {
            boolean withheld = CallWithheldException.causes(CallFailure.cause(failure));
            return new Result(
                    Optional.empty(),
                    withheld ? SendOutcome.WITHHELD : SendOutcome.NOT_SENT,
                    String.valueOf(failure));
        }
        if (response.status().equals(HttpStatus.MISDIRECTED_REQUEST)) {
            return new Result(
                    Optional.empty(), SendOutcome.MISDIRECTED, "response of another engine");
        }
        return mRelay.engineMessages()
                .reservation(response)
                .fold(
                        problem -> new Result(Optional.empty(), SendOutcome.NOT_SENT, problem),
                        this::granted);
    }

    /** An engine that has started again under its id may run another software version. */
    private Result granted(Reservation reservation) {
        if (reservation.isFrom(mEngine)) {
            return new Result(reservation.name(), SendOutcome.ABANDONED, "none");
        }
        reservation.name().ifPresent(name -> cancel(mRelay, mEngine, name));
        return new Result(Optional.empty(), SendOutcome.MISDIRECTED, "engine has started again");
    }
}
