package org.cyclamenpaddle.relay.front;

import com.linecorp.armeria.client.RequestOptions;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpRequest;
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

/**
 * Finds a place at a decode engine for one request, before anything is spent on its prompt.
 *
 * <p>Each host sees only its own part of an engine's work, so that a prompt read for an engine that
 * looked free was often turned away there, and its reading was lost. The engine itself is asked to
 * keep the memory. When all are full the request waits a little, as long as its first token can
 * still be on time, and is refused then.
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

    /**
     * Memory that must be free beside the request's own, in tokens.
     *
     * <p>Safeguard: the requests that run at an engine grow with every token, and when its memory
     * ends one of them is thrown out and read again from its beginning. About a third of the growth
     * of eight requests is still to come at any moment when others end and free theirs.
     */
    private static final long GROWTH_TOKENS = 1_200;

    /** Longest wait for the answer of an engine, in milliseconds; usual ones take under 10. */
    private static final long CALL_MILLIS = 300;

    /** Pause before all engines are asked once more, in milliseconds. */
    private static final long PAUSE_MILLIS = 45;

    /**
     * Share of the target that a request may spend on finding a place: what is left suffices to
     * read the prompt and make the first token.
     */
    private static final double WAIT_SHARE = 0.55;

    /**
     * Wait for a place of a request that comes back after a refusal, in milliseconds.
     *
     * <p>It has missed its target already, so that waiting costs its caller nothing, while another
     * refusal would be its last. Callers leave a stream that has not begun after some 3.6 s.
     */
    private static final long COME_BACK_MILLIS = 2_600;

    /** Pause of a request that comes back: those that can still be on time ask twice as often. */
    private static final long COME_BACK_PAUSE_MILLIS = 2 * PAUSE_MILLIS;

    /** Share of the route's timeout below which a caller's wait shows that it comes back. */
    private static final double FRESH_SHARE = 0.95;

    private final RelayParts mParts;
    private final RelayRequest mRequest;
    private final EventLoop mLoop;
    private final Set<BackendId> mAvoid;
    private final Listener mListener;
    private final long mPauseMillis;
    private final long mUntilMillis;
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
        boolean comesBack =
                request.caller().callerMillis().orElse(Long.MAX_VALUE)
                        < request.route().timeoutMillis() * FRESH_SHARE;
        long wait = (long) (request.route().targetMillis() * WAIT_SHARE);
        mPauseMillis = comesBack ? COME_BACK_PAUSE_MILLIS : PAUSE_MILLIS;
        mUntilMillis = parts.clock().millis() + (comesBack ? COME_BACK_MILLIS : wait);
    }

    /** Asks the best engine that has not just said that it is full. */
    void find() {
        long now = mParts.clock().millis();
        Optional<Backend> chosen = mParts.board().place(mRequest.service(), size(), mAvoid, now);
        if (chosen.isPresent()) {
            ask(chosen.get());
        } else if (now + mPauseMillis > mUntilMillis) {
            mClosed = true;
            mListener.found(Optional.empty());
        } else {
            mLoop.schedule(this::findAgain, mPauseMillis, TimeUnit.MILLISECONDS);
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
        long tokens = size().memoryTokens() + GROWTH_TOKENS;
        mParts.connections()
                .keptClient(runner.address(), runner.port())
                .execute(
                        mParts.messages().reserve(tokens, KEPT_MILLIS).toHttpRequest(),
                        RequestOptions.builder().responseTimeoutMillis(CALL_MILLIS).build())
                .aggregate()
                .whenCompleteAsync((answer, failure) -> answered(runner, answer, failure), mLoop);
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
            giveBack(runner, SendOutcome.NOT_SENT);
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
                .client(backend.address(), backend.port())
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
