package org.cyclamenpaddle.relay.front;

import com.linecorp.armeria.client.RequestOptions;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.RequestHeaders;
import io.netty.channel.EventLoop;
import io.vavr.control.Either;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.relay.backend.Backend;
import org.cyclamenpaddle.relay.backend.SendOutcome;
import org.cyclamenpaddle.relay.backend.WorkSize;
import org.cyclamenpaddle.relay.log.RelayEvent;
import org.cyclamenpaddle.routing.place.PlaceSearch;

/**
 * Finds a place at a decode engine for one request, before anything is spent on its prompt.
 *
 * <p>Each host sees only its own part of an engine's work, so that a prompt read for an engine that
 * looked free was often turned away there, and its reading was lost. The engine itself is asked to
 * keep the memory. When all are full the request goes on asking as {@link PlaceSearch} says, and is
 * refused then.
 *
 * <p>What is kept stays kept for as long as the request runs, also the part that it never uses; so
 * no more is asked for than the request is expected to need. Keeping 1,200 tokens more for each
 * cost 0.05 of a calm day's worth on six engines, and spared eight preemptions.
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

    /**
     * How long an engine keeps a place, in milliseconds: a prompt's reading, its queue and the
     * transfer, three times over.
     */
    private static final long KEPT_MILLIS = 1_500;

    /** Longest wait for the answer of an engine, in milliseconds; usual ones take under 10. */
    private static final long CALL_MILLIS = 300;

    private final RelayParts mParts;
    private final RelayRequest mRequest;
    private final EventLoop mLoop;
    private final Set<BackendId> mAvoid;
    private final Listener mListener;
    private final PlaceSearch mSearch;
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
        mSearch = search(parts, request);
    }

    private static PlaceSearch search(RelayParts parts, RelayRequest request) {
        long now = parts.clock().millis();
        boolean comesBack =
                request.caller().callerMillis().isPresent()
                        && parts.callers()
                                .read(
                                        waits ->
                                                waits.comesBack(
                                                        request.route().name(),
                                                        request.caller().callerMillis().getAsLong(),
                                                        now));
        return PlaceSearch.begin(now, request.route().targetMillis(), comesBack);
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
        ask(runner, true);
    }

    private void ask(Backend runner, boolean kept) {
        long askedMillis = mParts.clock().millis();
        mParts.connections()
                .client(runner.address(), runner.port(), kept)
                .execute(
                        mParts.messages()
                                .reserve(runner, size().memoryTokens(), KEPT_MILLIS)
                                .toHttpRequest(),
                        RequestOptions.builder().responseTimeoutMillis(CALL_MILLIS).build())
                .aggregate()
                .whenCompleteAsync(
                        (answer, failure) -> {
                            long spent = mParts.clock().millis() - askedMillis;
                            if (kept && failure != null && spent < CALL_MILLIS) {
                                // A kept connection may have been closed while it was idle.
                                ask(runner, false);
                            } else {
                                answered(runner, answer, failure);
                            }
                        },
                        mLoop);
    }

    private void answered(Backend runner, AggregatedHttpResponse answer, Throwable failure) {
        Either<String, Optional<String>> kept =
                failure == null
                        ? mParts.messages().reservation(answer)
                        : Either.left(String.valueOf(failure));
        if (mClosed) {
            kept.forEach(name -> name.ifPresent(place -> cancel(mParts, runner, place)));
            return;
        }
        mAsked = Optional.empty();
        if (kept.isRight() && kept.get().isPresent()) {
            mClosed = true;
            mListener.found(Optional.of(new Place(runner, kept.get())));
            return;
        }
        if (kept.isRight()) {
            mParts.board().full(runner, mParts.clock().millis());
            giveBack(runner, SendOutcome.ABANDONED);
        } else {
            mAvoid.add(runner.id());
            boolean misdirected =
                    failure == null && answer.status().equals(HttpStatus.MISDIRECTED_REQUEST);
            giveBack(runner, misdirected ? SendOutcome.MISDIRECTED : SendOutcome.NOT_SENT);
            mParts.log().log(
                    RelayEvent.PLACE_NOT_KEPT, mRequest.caller().id(), runner.id(), kept.getLeft());
        }
        find();
    }

    private void giveBack(Backend runner, SendOutcome outcome) {
        mParts.board().ended(runner, size(), false, outcome, mParts.clock().millis());
    }

    private WorkSize size() {
        return mRequest.caller().size();
    }

    /** Gives a kept place back that no request will take. */
    static void cancel(RelayParts parts, Backend runner, String reservation) {
        quietly(parts, runner, parts.messages().cancel(reservation));
    }

    /** Makes a call whose failure harms nothing, since what it frees lapses by itself. */
    static void quietly(RelayParts parts, Backend backend, RequestHeaders call) {
        parts.connections()
                .keptClient(backend.address(), backend.port())
                .execute(
                        HttpRequest.of(call),
                        RequestOptions.builder().responseTimeoutMillis(CALL_MILLIS).build())
                .aggregate()
                .exceptionally(
                        failure -> {
                            parts.log().log(RelayEvent.NOT_FREED, backend.id(), failure);
                            return null;
                        });
    }
}
