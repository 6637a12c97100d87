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
import org.cyclamenpaddle.routing.place.AskPacing;
import org.cyclamenpaddle.routing.place.PlaceSearch;
import org.cyclamenpaddle.routing.place.Seeker;

/**
 * Finds a place at a decode engine for one request, before anything is spent on its prompt.
 *
 * <p>Each host sees only its own part of an engine's work, so that a prompt read for an engine that
 * looked free was often turned away there, and its reading was lost. The engine itself is asked to
 * keep the memory. When all are full the request goes on asking as {@link PlaceSearch} says, and is
 * refused then.
 */
final class EnginePlaces {

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

    private final RelayParts mParts;
    private final RelayRequest mRequest;
    private final EventLoop mLoop;
    private final Set<BackendId> mAvoid;
    private final Listener mListener;
    private final PlaceSearch mSearch;
    private final AskPacing mPacing = new AskPacing();
    private final EngineRoom mRoom;
    private Optional<Backend> mAsked = Optional.empty();
    private boolean mClosed;

    EnginePlaces(
            RelayParts parts,
            RelayRequest request,
            EventLoop loop,
            Set<BackendId> avoid,
            Listener listener) {
        mParts = parts;
        mRequest = request;
        mLoop = loop;
        mAvoid = new HashSet<>(avoid);
        mListener = listener;
        mRoom = new EngineRoom(parts, request, loop);
        long now = parts.clock().millis();
        Seeker seeker = seeker(parts, request, !avoid.isEmpty(), now);
        mSearch = PlaceSearch.begin(now, request.route().terms(), seeker);
    }

    private static Seeker seeker(
            RelayParts parts, RelayRequest request, boolean sentBefore, long nowMillis) {
        OptionalLong waits = request.caller().callerMillis();
        if (sentBefore) {
            return Seeker.REPEAT;
        }
        PlaceSearch first = PlaceSearch.begin(nowMillis, request.route().terms(), Seeker.FIRST);
        long spent = first.waitMillis() + request.comeBackMillis(parts.demand());
        boolean comesBack =
                waits.isPresent()
                        && parts.callers()
                                .read(
                                        callers ->
                                                callers.comesBack(
                                                        request.route().name(),
                                                        waits.getAsLong(),
                                                        spent,
                                                        nowMillis));
        return comesBack ? Seeker.COME_BACK : Seeker.FIRST;
    }

    /** Asks the best engine that has not just said that it is full, or pauses before it does. */
    void find() {
        long now = mParts.clock().millis();
        Optional<Backend> chosen =
                mPacing.pauseIsDue()
                        ? Optional.empty()
                        : mParts.board().place(mRequest.service(), size(), mAvoid, now);
        if (chosen.isPresent()) {
            ask(chosen.get());
        } else if (!mSearch.mayGoOn(now)) {
            mClosed = true;
            mListener.found(Optional.empty());
        } else {
            long pause = mPacing.pauseMillis(mSearch, now);
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
        PlaceAsk.send(mParts, mRequest, mLoop, runner, answer -> asked(runner, answer));
    }

    private void asked(Backend runner, PlaceAsk.Answer answer) {
        if (mClosed) {
            answer.reservation().ifPresent(name -> PlaceAsk.cancel(mParts, runner, name));
        } else if (answer.kept()) {
            boolean yields = mSearch.yields(mParts.clock().millis());
            mRoom.beside(runner, yields, tokens -> probe(runner, answer, tokens));
        } else {
            turnedAway(runner, answer);
        }
    }

    /** Looks for room to grow beside a place that is kept. */
    private void probe(Backend runner, PlaceAsk.Answer place, OptionalLong tokens) {
        if (mClosed || tokens.isEmpty()) {
            probed(runner, place, PlaceAsk.NO_ROOM);
        } else if (tokens.getAsLong() == 0) {
            probed(runner, place, place);
        } else {
            PlaceAsk.probe(
                    mParts,
                    mRequest,
                    mLoop,
                    runner,
                    tokens.getAsLong(),
                    room -> probed(runner, place, room));
        }
    }

    private void probed(Backend runner, PlaceAsk.Answer place, PlaceAsk.Answer room) {
        if (mClosed || !room.kept()) {
            place.reservation().ifPresent(name -> PlaceAsk.cancel(mParts, runner, name));
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

    private void turnedAway(Backend runner, PlaceAsk.Answer answer) {
        mAsked = Optional.empty();
        giveBack(runner, answer.outcome());
        if (answer.full()) {
            mParts.board().full(runner, mParts.clock().millis());
            mPacing.turnedAway();
        } else {
            mAvoid.add(runner.id());
            mParts.log().log(
                    RelayEvent.PLACE_NOT_KEPT, mRequest.caller().id(), runner.id(), answer.cause());
        }
        find();
    }

    private void giveBack(Backend runner, SendOutcome outcome) {
        mParts.board().ended(runner, size(), false, outcome, mParts.clock().millis());
    }

    private WorkSize size() {
        return mRequest.caller().size();
    }
}
