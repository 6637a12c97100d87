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

    /** Asks the best engine that has not just said that it is full. */
    void find() {
        long now = mParts.clock().millis();
        Optional<Backend> chosen = mParts.board().place(mRequest.service(), size(), mAvoid, now);
        if (chosen.isPresent()) {
            ask(chosen.get());
        } else if (!mSearch.mayGoOn(now)) {
            mClosed = true;
            mListener.found(Optional.empty());
        } else {
            mLoop.schedule(this::findAgain, mSearch.pauseMillis(now), TimeUnit.MILLISECONDS);
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
        boolean yields = mSearch.yields(mParts.clock().millis());
        mRoom.need(runner, yields, need -> askFor(runner, need));
    }

    private void askFor(Backend runner, Optional<PlaceNeed> need) {
        if (mClosed) {
            return;
        }
        if (need.isEmpty()) {
            answered(runner, PlaceAsk.NO_ROOM);
        } else {
            PlaceAsk.send(
                    mParts,
                    mRequest,
                    mLoop,
                    runner,
                    need.get(),
                    answer -> answered(runner, answer));
        }
    }

    private void answered(Backend runner, PlaceAsk.Answer answer) {
        if (mClosed) {
            answer.reservation().ifPresent(name -> PlaceAsk.cancel(mParts, runner, name));
            return;
        }
        mAsked = Optional.empty();
        if (answer.kept()) {
            mClosed = true;
            mListener.found(Optional.of(new Place(runner, answer.reservation())));
            return;
        }
        giveBack(runner, answer.outcome());
        if (answer.full()) {
            mParts.board().full(runner, mParts.clock().millis());
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
