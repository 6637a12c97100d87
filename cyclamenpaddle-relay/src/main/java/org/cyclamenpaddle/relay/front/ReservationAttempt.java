package org.cyclamenpaddle.relay.front;

import io.netty.channel.EventLoop;
import java.util.Optional;
import java.util.OptionalLong;
import org.cyclamenpaddle.http.PolledTimer;
import org.cyclamenpaddle.relay.backend.Backend;
import org.cyclamenpaddle.relay.backend.SendOutcome;
import org.cyclamenpaddle.relay.log.RelayEvent;
import org.cyclamenpaddle.routing.reservation.ReservationWait;
import org.cyclamenpaddle.routing.silence.SilenceLimits;

/**
 * Reserves memory for one request on one engine and checks that the request can grow there.
 *
 * <p>The calls are not ended while the engine is silent, since it may only be paused. A reservation
 * that it grants after {@link #cancel} is cancelled at once. All methods run on the event loop of
 * the caller's connection.
 */
final class ReservationAttempt {

    /** Notified of the course of an attempt that was not cancelled. */
    interface Listener {

        /** Called when the request can be sent to the engine; nothing follows. */
        void granted(ReservationAttempt attempt, Optional<String> reservation);

        /** Called when the engine does not take the request; nothing follows. */
        void rejected(ReservationAttempt attempt, ReserveCall.Result result);

        /** Called when the engine has not responded in time; the attempt goes on. */
        void silent(ReservationAttempt attempt);
    }

    private final RelayContext mRelay;
    private final RelayRequest mRequest;
    private final EventLoop mLoop;
    private final Backend mEngine;
    private final GrowthCapacity mGrowthCapacity;
    private final ReservationWait mWait;
    private final Listener mListener;
    private Optional<PolledTimer> mTimer = Optional.empty();
    private Optional<String> mReservation = Optional.empty();
    private boolean mEnded;

    ReservationAttempt(
            RelayContext relay,
            RelayRequest request,
            EventLoop loop,
            Backend engine,
            GrowthCapacity growthCapacity,
            ReservationWait wait,
            Listener listener) {
        mRelay = relay;
        mRequest = request;
        mLoop = loop;
        mEngine = engine;
        mGrowthCapacity = growthCapacity;
        mWait = wait;
        mListener = listener;
    }

    Backend engine() {
        return mEngine;
    }

    void start() {
        awaitResponse();
        ReserveCall.reserveWhenResponding(mRelay, mRequest, mLoop, mEngine, this::reserved);
    }

    /** Ends the attempt; a reservation that is held or arrives later is cancelled. */
    void cancel() {
        end();
        cancelReservation();
        recordEnd(SendOutcome.ABANDONED);
    }

    private void reserved(ReserveCall.Result result) {
        mReservation = result.reservation();
        if (mEnded) {
            cancelReservation();
        } else if (!result.granted()) {
            reject(result);
        } else if (!acceptsWork()) {
            reject(
                    new ReserveCall.Result(
                            Optional.empty(), SendOutcome.WITHHELD, "engine asks for no work"));
        } else {
            mGrowthCapacity.requiredTokens(mEngine, mWait, this::checkGrowth);
        }
    }

    /** The engine may have announced its shutdown, or a pause, while the call was pending. */
    private boolean acceptsWork() {
        return mRelay.registry().directives().acceptsWork(mEngine, mRelay.clock().millis())
                && !mRelay.registry().isLeaving(mEngine);
    }

    /** Checks for free memory to grow, beyond the reservation that was granted. */
    private void checkGrowth(OptionalLong tokens) {
        if (mEnded) {
            return;
        }
        if (tokens.isEmpty()) {
            reject(ReserveCall.NO_CAPACITY);
        } else if (tokens.getAsLong() == 0) {
            grant();
        } else {
            awaitResponse();
            ReserveCall.probe(
                    mRelay, mRequest, mLoop, mEngine, tokens.getAsLong(), this::growthChecked);
        }
    }

    private void growthChecked(ReserveCall.Result growth) {
        if (mEnded) {
            return;
        }
        if (growth.granted()) {
            grant();
        } else {
            reject(growth);
        }
    }

    private void grant() {
        end();
        mListener.granted(this, mReservation);
    }

    private void reject(ReserveCall.Result result) {
        end();
        cancelReservation();
        recordEnd(result.outcome());
        mListener.rejected(this, result);
    }

    private void end() {
        mEnded = true;
        mTimer.ifPresent(PolledTimer::cancel);
    }

    private void cancelReservation() {
        mReservation.ifPresent(name -> ReserveCall.cancel(mRelay, mEngine, name));
        mReservation = Optional.empty();
    }

    private void recordEnd(SendOutcome outcome) {
        mRelay.registry()
                .recordOutcome(
                        mEngine, mRequest.caller().size(), false, outcome, mRelay.clock().millis());
    }

    private void awaitResponse() {
        mTimer.ifPresent(PolledTimer::cancel);
        mTimer =
                Optional.of(
                        PolledTimer.start(mLoop, this::noResponse, ReserveCall.RESPONSE_MILLIS));
    }

    private void noResponse() {
        if (mEnded) {
            return;
        }
        long limitMillis = SilenceLimits.otherMillis(ReserveCall.RESPONSE_MILLIS);
        if (mRelay.registry().recordSilence(mEngine, limitMillis, mRelay.clock().millis())) {
            mRelay.log().log(
                    RelayEvent.BACKEND_EJECTED,
                    mEngine.id(),
                    SendOutcome.SILENT,
                    "no response to a reservation in " + ReserveCall.RESPONSE_MILLIS + " ms");
        }
        mListener.silent(this);
    }
}
