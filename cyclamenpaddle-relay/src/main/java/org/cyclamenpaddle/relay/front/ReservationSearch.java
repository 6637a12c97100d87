package org.cyclamenpaddle.relay.front;

import io.netty.channel.EventLoop;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.relay.backend.Backend;
import org.cyclamenpaddle.relay.backend.SendOutcome;
import org.cyclamenpaddle.relay.backend.WorkSize;
import org.cyclamenpaddle.relay.log.RelayEvent;
import org.cyclamenpaddle.routing.reservation.ReservationWait;
import org.cyclamenpaddle.routing.reservation.ReservePacing;
import org.cyclamenpaddle.routing.reservation.RetryStage;

/**
 * Finds a place at a decode engine for one request, before anything is spent on its prompt.
 *
 * <p>Each host sees only its own part of an engine's work, so that a prompt read for an engine that
 * looked free was often turned away there, and its reading was lost. The engine itself is asked to
 * keep the memory. When all are full the request goes on asking as {@link ReservationWait} says,
 * and is refused then.
 */
final class ReservationSearch {

    /** Told the place, or nothing if none was found in time. */
    interface Listener {
        void found(Optional<Place> place);
    }

    /**
     * A place at an engine.
     *
     * @param runner the engine
     * @param reservation its name there; empty if the engine keeps none
     */
    record Place(Backend runner, Optional<String> reservation) {}

    private final RelayContext mRelay;
    private final RelayRequest mRequest;
    private final EventLoop mLoop;
    private final Set<BackendId> mAvoid;
    private final Listener mListener;
    private final ReservationWait mReservationWait;
    private final ReservePacing mReservePacing = new ReservePacing();
    private final GrowthCapacity mRoom;
    private Optional<Backend> mAsked = Optional.empty();
    private boolean mClosed;

    ReservationSearch(
            RelayContext relay,
            RelayRequest request,
            EventLoop loop,
            Set<BackendId> avoid,
            Listener listener) {
        mRelay = relay;
        mRequest = request;
        mLoop = loop;
        mAvoid = new HashSet<>(avoid);
        mListener = listener;
        mRoom = new GrowthCapacity(relay, request, loop);
        long now = relay.clock().millis();
        RetryStage stage = stage(relay, request, !avoid.isEmpty(), now);
        mReservationWait = ReservationWait.begin(now, request.route().terms(), stage);
    }

    private static RetryStage stage(
            RelayContext relay, RelayRequest request, boolean sentBefore, long nowMillis) {
        OptionalLong waits = request.caller().callerTimeoutMillis();
        if (sentBefore) {
            return RetryStage.RETRY;
        }
        ReservationWait first =
                ReservationWait.begin(nowMillis, request.route().terms(), RetryStage.FIRST);
        long spent = first.waitMillis() + request.comeBackMillis(relay.demand());
        boolean comesBack =
                waits.isPresent()
                        && relay.returningClients()
                                .read(
                                        callers ->
                                                callers.isReturning(
                                                        request.route().name(),
                                                        waits.getAsLong(),
                                                        spent,
                                                        nowMillis));
        return comesBack ? RetryStage.RETURNING : RetryStage.FIRST;
    }

    /** Asks the best engine that has not just said that it is full, or pauses before it does. */
    void find() {
        long now = mRelay.clock().millis();
        Optional<Backend> chosen =
                mReservePacing.pauseIsDue()
                        ? Optional.empty()
                        : mRelay.board().select(mRequest.service(), size(), mAvoid, now);
        if (chosen.isPresent()) {
            ask(chosen.get());
        } else if (!mReservationWait.mayRetry(now)) {
            mClosed = true;
            mListener.found(Optional.empty());
        } else {
            long pause = mReservePacing.pauseMillis(mReservationWait, now);
            mLoop.schedule(this::findAgain, pause, TimeUnit.MILLISECONDS);
        }
    }

    /** Ends the search because the request has ended. */
    void cancel() {
        mClosed = true;
        mAsked.ifPresent(runner -> giveBack(runner, SendOutcome.ABANDONED));
        mAsked = Optional.empty();
    }

    private void findAgain() {
        if (!mClosed) {
            find();
        }
    }

    private void ask(Backend runner) {
        mAsked = Optional.of(runner);
        ReserveCall.send(mRelay, mRequest, mLoop, runner, answer -> asked(runner, answer));
    }

    private void asked(Backend runner, ReserveCall.Answer answer) {
        if (mClosed) {
            answer.reservation().ifPresent(name -> ReserveCall.cancel(mRelay, runner, name));
        } else if (answer.kept()) {
            mRoom.beside(runner, mReservationWait, tokens -> probe(runner, answer, tokens));
        } else {
            turnedAway(runner, answer);
        }
    }

    /** Looks for room to grow beside a place that is kept. */
    private void probe(Backend runner, ReserveCall.Answer place, OptionalLong tokens) {
        if (mClosed || tokens.isEmpty()) {
            probed(runner, place, ReserveCall.NO_ROOM);
        } else if (tokens.getAsLong() == 0) {
            probed(runner, place, place);
        } else {
            ReserveCall.probe(
                    mRelay,
                    mRequest,
                    mLoop,
                    runner,
                    tokens.getAsLong(),
                    room -> probed(runner, place, room));
        }
    }

    private void probed(Backend runner, ReserveCall.Answer place, ReserveCall.Answer room) {
        if (mClosed || !room.kept()) {
            place.reservation().ifPresent(name -> ReserveCall.cancel(mRelay, runner, name));
        }
        if (mClosed) {
            return;
        }
        if (!room.kept()) {
            turnedAway(runner, room);
            return;
        }
        mClosed = true;
        mAsked = Optional.empty();
        mListener.found(Optional.of(new Place(runner, place.reservation())));
    }

    private void turnedAway(Backend runner, ReserveCall.Answer answer) {
        mAsked = Optional.empty();
        giveBack(runner, answer.outcome());
        if (answer.full()) {
            mRelay.board().recordFull(runner, mRelay.clock().millis());
            mReservePacing.rejected();
        } else {
            mAvoid.add(runner.id());
            mRelay.log().log(
                    RelayEvent.RESERVATION_FAILED,
                    mRequest.caller().id(),
                    runner.id(),
                    answer.cause());
        }
        find();
    }

    private void giveBack(Backend runner, SendOutcome outcome) {
        mRelay.board().recordOutcome(runner, size(), false, outcome, mRelay.clock().millis());
    }

    private WorkSize size() {
        return mRequest.caller().size();
    }
}
