package org.cyclamenpaddle.relay.front;

import com.linecorp.armeria.client.ResponseTimeoutException;
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
import org.cyclamenpaddle.http.PolledTimer;
import org.cyclamenpaddle.relay.backend.Backend;
import org.cyclamenpaddle.relay.backend.SendOutcome;
import org.cyclamenpaddle.relay.backend.ServerVoice;
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

    /** Result that stands for an engine that has not responded in time. */
    private static final Result NO_RESPONSE =
            new Result(Optional.empty(), SendOutcome.SILENT, "no response in time");

    /**
     * Time without a response after which an engine counts as silent, in milliseconds; typical
     * calls take under 10.
     */
    static final long RESPONSE_MILLIS = 300;

    private final RelayContext mRelay;
    private final RelayRequest mRequest;
    private final Backend mEngine;
    private final ServerVoice mVoice;

    private ReserveCall(RelayContext relay, RelayRequest request, Backend engine) {
        mRelay = relay;
        mRequest = request;
        mEngine = engine;
        mVoice = relay.registry().voice(engine);
    }

    /**
     * Reserves memory for a request if the engine responds in time; {@code done} is called on the
     * event loop. A reservation that is granted later is cancelled.
     */
    static void reserve(
            RelayContext relay,
            RelayRequest request,
            EventLoop loop,
            Backend engine,
            Consumer<Result> done) {
        CompletableFuture<Result> pending = send(relay, request, engine);
        CompletableFuture<Result> inTime = pending.copy();
        PolledTimer timer =
                PolledTimer.start(loop, () -> inTime.complete(NO_RESPONSE), RESPONSE_MILLIS);
        inTime.thenAcceptAsync(
                result -> {
                    timer.cancel();
                    done.accept(result);
                },
                loop);
        pending.thenAccept(
                result -> {
                    if (inTime.getNow(result) == NO_RESPONSE) {
                        result.reservation().ifPresent(name -> cancel(relay, engine, name));
                    }
                });
    }

    /**
     * Reserves memory for a request, however long the engine is silent.
     *
     * <p>A call that is ended earlier leaves memory reserved at an engine that is only paused: it
     * grants the reservation when it goes on, and nobody cancels it.
     *
     * @param done called on the event loop, also if the request has ended meanwhile
     */
    static void reserveWhenResponding(
            RelayContext relay,
            RelayRequest request,
            EventLoop loop,
            Backend engine,
            Consumer<Result> done) {
        send(relay, request, engine).thenAcceptAsync(done, loop);
    }

    private static CompletableFuture<Result> send(
            RelayContext relay, RelayRequest request, Backend engine) {
        long tokens = request.caller().size().memoryTokens();
        long holdMillis = request.engine().orElseThrow().maxReservationMillis();
        return new ReserveCall(relay, request, engine).sendCounted(tokens, holdMillis);
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
        new ReserveCall(relay, request, engine)
                .sendCounted(tokens, RESPONSE_MILLIS)
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
                        new BackendCaller.Options(
                                true, RESPONSE_MILLIS, BackendCaller.Purpose.RELEASE, "release"),
                        HttpRequest.of(call))
                .exceptionally(
                        failure -> {
                            relay.log().log(RelayEvent.RELEASE_FAILED, backend.id(), failure);
                            return null;
                        });
    }

    private CompletableFuture<Result> sendCounted(long tokens, long millis) {
        mVoice.callSent();
        return requestReservation(tokens, millis, true)
                .whenComplete((result, failure) -> mVoice.callEnded());
    }

    private CompletableFuture<Result> requestReservation(long tokens, long millis, boolean pooled) {
        long startMillis = mRelay.clock().millis();
        return mRelay.calls()
                .call(
                        mEngine,
                        new BackendCaller.Options(
                                pooled,
                                timeoutMillis(),
                                BackendCaller.Purpose.WORK,
                                mRequest.caller().id()),
                        mRelay.engineMessages().reserve(mEngine, tokens, millis).toHttpRequest())
                .handle(
                        (response, failure) -> {
                            long now = mRelay.clock().millis();
                            // A pooled connection may have been closed while it was idle.
                            boolean mayResend =
                                    pooled
                                            && failure != null
                                            && now - startMillis < RESPONSE_MILLIS;
                            return mayResend
                                            && mRelay.registry()
                                                    .directives()
                                                    .tryCall(mEngine, 1, now)
                                    ? requestReservation(tokens, millis, false)
                                    : CompletableFuture.completedFuture(result(response, failure));
                        })
                .thenCompose(Function.identity());
    }

    /** No caller waits longer for an engine that sends nothing. */
    private long timeoutMillis() {
        return Math.max(RESPONSE_MILLIS, mRequest.route().silenceMillis());
    }

    private Result result(AggregatedHttpResponse response, Throwable failure) {
        if (failure != null) {
            return new Result(Optional.empty(), outcome(failure), String.valueOf(failure));
        }
        mRelay.registry().recordHeard(mEngine, mRelay.clock().millis());
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

    private static SendOutcome outcome(Throwable failure) {
        Throwable cause = CallFailure.cause(failure);
        if (CallWithheldException.causes(cause)) {
            return SendOutcome.WITHHELD;
        }
        if (cause instanceof MismatchedResponseException) {
            return SendOutcome.MISMATCHED;
        }
        return cause instanceof ResponseTimeoutException
                ? SendOutcome.SILENT
                : SendOutcome.NOT_SENT;
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
