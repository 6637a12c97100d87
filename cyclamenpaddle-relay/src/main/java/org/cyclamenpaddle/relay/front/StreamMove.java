package org.cyclamenpaddle.relay.front;

import com.linecorp.armeria.client.RequestOptions;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import io.netty.channel.EventLoop;
import io.vavr.control.Either;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.relay.backend.Backend;
import org.cyclamenpaddle.relay.backend.SendOutcome;
import org.cyclamenpaddle.relay.log.RelayEvent;
import org.cyclamenpaddle.relay.wire.MovedRun;

/**
 * Moves a generation that has outgrown its place away from an engine that is about to be full.
 *
 * <p>Safeguard: an engine without memory left preempts a generation, whose prompt and answer are
 * then read again while its caller waits. Copying its memory to an engine with room takes a few
 * milliseconds. The engine that would be left is asked first, so that nothing moves without need,
 * and the other one must have room for what both generations and others grow by.
 *
 * <p>All methods run on one event loop.
 */
final class StreamMove {

    /** Told how the move ended, once. */
    interface Listener {

        /** The generation has stopped and can go on at an engine from a handle. */
        void stopped(Backend source, Backend target, MovedRun run);

        /** The generation goes on where it was, or has ended there. */
        void stayed();
    }

    /** Engines that are asked for room before the generation stays. */
    private static final int MOST_ASKED = 3;

    /** Longest wait for a copy, in milliseconds. */
    private static final long COPY_MILLIS = 800;

    private final RelayParts mParts;
    private final RelayRequest mRequest;
    private final EventLoop mLoop;
    private final BackendSend mSend;
    private final long mMadeTokens;
    private final Listener mListener;
    private final EngineRoom mRoom;
    private final Set<BackendId> mAsked = new HashSet<>();
    private boolean mClosed;
    private boolean mCopying;

    /**
     * Creates a move; {@link #start} begins.
     *
     * @param send the send whose stream runs
     * @param madeTokens tokens that it has made
     */
    StreamMove(
            RelayParts parts,
            RelayRequest request,
            EventLoop loop,
            BackendSend send,
            long madeTokens,
            Listener listener) {
        mParts = parts;
        mRequest = request;
        mLoop = loop;
        mSend = send;
        mMadeTokens = madeTokens;
        mListener = listener;
        mRoom = new EngineRoom(parts, request, loop);
    }

    /** Asks the engine whether its generations have room to grow, and looks further if not. */
    void start() {
        Backend source = mSend.target();
        mAsked.add(source.id());
        mRoom.room(source, room -> askSource(source, room));
    }

    /** Returns whether the engine has been told to stop the generation. */
    boolean copying() {
        return mCopying;
    }

    /** Ends the move because the request, or its send, has ended. */
    void close() {
        mClosed = true;
    }

    private void askSource(Backend source, Optional<Long> room) {
        if (room.isEmpty()) {
            look();
        } else if (room.get() == 0) {
            stay();
        } else {
            PlaceAsk.room(mParts, mRequest, mLoop, source, room.get(), this::sourceTold);
        }
    }

    private void sourceTold(PlaceAsk.Answer answer) {
        if (answer.full()) {
            look();
        } else {
            stay();
        }
    }

    private void look() {
        if (mClosed) {
            return;
        }
        Optional<Backend> target =
                mAsked.size() > MOST_ASKED
                        ? Optional.empty()
                        : mParts.board()
                                .place(
                                        mRequest.service(),
                                        mRequest.caller().size(),
                                        mAsked,
                                        mParts.clock().millis());
        if (target.isEmpty()) {
            stay();
            return;
        }
        mAsked.add(target.get().id());
        mRoom.needToGoOn(target.get(), mMadeTokens, need -> ask(target.get(), need));
    }

    private void ask(Backend target, Optional<PlaceNeed> need) {
        if (need.isEmpty() || mClosed) {
            release(target);
            look();
            return;
        }
        PlaceAsk.send(
                mParts,
                mRequest,
                mLoop,
                target,
                need.get(),
                answer -> {
                    // The copy takes the memory itself.
                    answer.reservation().ifPresent(name -> PlaceAsk.cancel(mParts, target, name));
                    if (mClosed) {
                        release(target);
                    } else if (answer.kept() && mParts.budget().tryTake(mRequest.service())) {
                        copy(target);
                    } else {
                        release(target);
                        look();
                    }
                });
    }

    private void copy(Backend target) {
        mCopying = true;
        mSend.mayStop();
        Backend source = mSend.target();
        mParts.connections()
                .client(source.address(), source.port(), true)
                .execute(
                        mParts.engines()
                                .move(source, mRequest.caller().id(), target)
                                .toHttpRequest(),
                        RequestOptions.builder().responseTimeoutMillis(COPY_MILLIS).build())
                .aggregate()
                .whenCompleteAsync((answer, failure) -> copied(target, answer, failure), mLoop);
    }

    private void copied(Backend target, AggregatedHttpResponse answer, Throwable failure) {
        Backend source = mSend.target();
        Either<String, MovedRun> run =
                failure == null
                        ? mParts.engines().moved(source, answer)
                        : Either.left(String.valueOf(failure));
        boolean copied = run.map(MovedRun::copied).getOrElse(false);
        mParts.log().log(
                RelayEvent.STREAM_MOVED,
                mRequest.caller().id(),
                source.id(),
                target.id(),
                mMadeTokens,
                run.fold(cause -> cause, moved -> copied ? "copied" : "stopped only"));
        if (!copied || mClosed) {
            release(target);
        }
        if (mClosed) {
            // Nobody goes on from it: its memory is freed at both ends.
            run.peek(
                    moved ->
                            PlaceAsk.quietly(
                                    mParts, source, mParts.engines().release(moved.handle())));
        } else if (run.isLeft()) {
            stay();
        } else {
            mClosed = true;
            mListener.stopped(source, copied ? target : source, run.get());
        }
    }

    private void stay() {
        if (!mClosed) {
            mClosed = true;
            mListener.stayed();
        }
    }

    private void release(Backend target) {
        mParts.board()
                .ended(
                        target,
                        mRequest.caller().size(),
                        false,
                        SendOutcome.ABANDONED,
                        mParts.clock().millis());
    }
}
