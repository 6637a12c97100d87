package org.cyclamenpaddle.relay.front;

import com.linecorp.armeria.common.HttpResponseWriter;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.relay.backend.Backend;
import org.cyclamenpaddle.relay.backend.SendOutcome;
import org.cyclamenpaddle.relay.backend.WorkSize;
import org.cyclamenpaddle.relay.course.CallerReply;
import org.cyclamenpaddle.relay.course.Course;
import org.cyclamenpaddle.relay.course.CourseTerms;
import org.cyclamenpaddle.relay.course.NextStep;
import org.cyclamenpaddle.relay.route.RouteKind;
import org.cyclamenpaddle.relay.staging.Demand;
import org.cyclamenpaddle.relay.wire.BackendCall;
import org.cyclamenpaddle.relay.wire.PromptHandle;

/**
 * Carries one request through its course: places it, sends it, and ends it exactly once.
 *
 * <p>All methods run on the event loop of the caller's connection.
 */
final class RelayRun {

    private final RelayParts mParts;
    private final RelayRequest mRequest;
    private final EventLoop mLoop;
    private final CallerAnswer mAnswer;
    private final Runnable mOnEnd;
    private final Course mCourse;
    private final RunLines mLines;
    private final long mStartMillis;
    private final Set<BackendId> mTried = new HashSet<>();
    private ScheduledFuture<?> mGiveUp;
    private Optional<EnginePlaces> mPlaces = Optional.empty();
    private Optional<EnginePlaces.Place> mPlace = Optional.empty();
    private Optional<PromptReading> mReading = Optional.empty();
    private Optional<BackendSend> mSend = Optional.empty();
    private Optional<Backend> mLast = Optional.empty();
    private Optional<Backend> mReader = Optional.empty();
    private Optional<Backend> mLostReader = Optional.empty();
    private long mPlaceMillis = -1;
    private boolean mAsking;
    private boolean mEnded;

    RelayRun(
            RelayParts parts,
            RelayRequest request,
            EventLoop loop,
            HttpResponseWriter writer,
            RetryAfter retryAfter,
            Runnable onEnd) {
        mParts = parts;
        mRequest = request;
        mLoop = loop;
        mOnEnd = onEnd;
        mStartMillis = parts.clock().millis();
        long callerMillis = request.caller().callerMillis().orElse(Long.MAX_VALUE);
        mCourse = new Course(CourseTerms.of(request.route(), callerMillis), mStartMillis);
        mAnswer = new CallerAnswer(writer, request, retryAfter, mCourse);
        mLines = new RunLines(parts, request, mCourse, mAnswer, mStartMillis);
    }

    void start() {
        mParts.budget().requested(mRequest.service());
        if (mRequest.engine().isPresent()) {
            mParts.demand().begun(mRequest.service(), mRequest.caller().size());
        }
        long left = mCourse.leftMillis(mStartMillis);
        mGiveUp = mLoop.schedule(this::giveUp, left, TimeUnit.MILLISECONDS);
        place();
    }

    /** The caller's connection has gone, or its stream was cancelled. */
    void callerGone() {
        if (mEnded) {
            return;
        }
        mSend.ifPresent(BackendSend::cancel);
        mParts.metrics().callerGone();
        mLines.callerGone(mLast);
        end();
    }

    private void place() {
        if (mRequest.engine().isPresent()) {
            EnginePlaces places =
                    new EnginePlaces(mParts, mRequest, mLoop, mTried, this::placeFound);
            mPlaces = Optional.of(places);
            places.find();
            return;
        }
        Optional<Backend> runner =
                mParts.board()
                        .place(
                                mRequest.service(),
                                mRequest.caller().size(),
                                mTried,
                                mParts.clock().millis());
        if (runner.isEmpty()) {
            reply(SendOutcome.NOT_SENT, "no backend server can be reached");
        } else {
            send(new EnginePlaces.Place(runner.get(), Optional.empty()), Optional.empty());
        }
    }

    private void placeFound(Optional<EnginePlaces.Place> found) {
        mPlaces = Optional.empty();
        if (found.isEmpty()) {
            reply(SendOutcome.NOT_SENT, "no engine has room");
            return;
        }
        long now = mParts.clock().millis();
        mPlaceMillis = now - mStartMillis;
        EnginePlaces.Place place = found.get();
        mReader = mParts.board().reader(place.runner(), mRequest.caller().size(), now);
        if (mReader.isEmpty()) {
            send(place, Optional.empty());
            return;
        }
        PromptReading reading =
                new PromptReading(
                        mParts, mRequest, mReader.get(), handle -> promptRead(place, handle));
        mReading = Optional.of(reading);
        mPlace = Optional.of(place);
        reading.start(mLoop, mCourse.leftMillis(now));
    }

    private void promptRead(EnginePlaces.Place place, Optional<PromptHandle> handle) {
        boolean rejected = mReading.map(PromptReading::rejected).orElse(false);
        mReading = Optional.empty();
        if (rejected && !takeRetry()) {
            giveBack(place);
            reply(SendOutcome.NOT_SENT, "prefill engine full, retry budget empty");
            return;
        }
        send(place, handle);
    }

    /** Frees the place of a request that ends before it was sent. */
    private void giveBack(EnginePlaces.Place place) {
        place.reservation().ifPresent(name -> PlaceAsk.cancel(mParts, place.runner(), name));
        release(place.runner());
    }

    private void release(Backend runner) {
        mParts.board()
                .ended(
                        runner,
                        mRequest.caller().size(),
                        true,
                        SendOutcome.ABANDONED,
                        mParts.clock().millis());
    }

    private void send(EnginePlaces.Place place, Optional<PromptHandle> prompt) {
        Backend runner = place.runner();
        mTried.add(runner.id());
        mLast = Optional.of(runner);
        mCourse.sending();
        open(place, prompt);
    }

    private void open(EnginePlaces.Place place, Optional<PromptHandle> prompt) {
        Backend runner = place.runner();
        BackendCall call =
                new BackendCall(
                        runner,
                        mCourse.leftMillis(mParts.clock().millis()),
                        false,
                        prompt,
                        place.reservation(),
                        mAnswer.lastEventId());
        boolean othersLeft = mRequest.route().repeatable() && mCourse.mayGoOn();
        BackendSend send =
                new BackendSend(
                        mParts,
                        mRequest,
                        call,
                        mAnswer,
                        new BackendSend.Terms(
                                mReader.isPresent(),
                                othersLeft,
                                connection(place),
                                mCourse::sentOnceMore),
                        this::sendEnded);
        mSend = Optional.of(send);
        send.start(mLoop);
    }

    private BackendSend.Connection connection(EnginePlaces.Place place) {
        if (place.reservation().isPresent()) {
            return BackendSend.Connection.PROVEN;
        }
        return mRequest.route().kind() == RouteKind.IDEMPOTENT
                ? BackendSend.Connection.KEPT
                : BackendSend.Connection.NEW;
    }

    private void sendEnded(SendOutcome outcome, String cause) {
        BackendSend send = mSend.orElseThrow();
        mSend = Optional.empty();
        freeUnused(send, outcome);
        if (outcome == SendOutcome.REJECTED && send.prompt().isEmpty()) {
            turnedAway(send.target());
        }
        if (outcome == SendOutcome.REJECTED && send.prompt().isPresent()) {
            promptLost(send, cause);
        } else if (outcome == SendOutcome.UNKNOWN && mayGoOnHere()) {
            goOnHere(send, cause);
        } else {
            next(send, outcome, cause);
        }
    }

    /**
     * An engine has turned a request away that it had kept a place for.
     *
     * <p>Where it did so twice, the prompt engine's result was not what it lacked.
     */
    private void turnedAway(Backend target) {
        if (mRequest.engine().isPresent()) {
            mParts.board().outdated(target, mParts.clock().millis());
            mLostReader.ifPresent(mParts.board()::alive);
        }
    }

    private boolean mayGoOnHere() {
        return mRequest.engine().isPresent() && mCourse.mayGoOnHere(mParts.clock().millis());
    }

    /**
     * Lets a stream whose connection broke go on at the engine that ran it, if that still has room.
     *
     * <p>An engine whose answer was lost on the way still has the prompt in its memory. Elsewhere
     * it would be read again, with a pause longer than callers accept. An engine that has crashed
     * refuses the ask at once, and the stream goes on elsewhere as before.
     */
    private void goOnHere(BackendSend send, String cause) {
        mAsking = true;
        PlaceAsk.send(
                mParts,
                mRequest,
                mLoop,
                send.target(),
                answer -> {
                    mAsking = false;
                    if (mEnded) {
                        answer.reservation()
                                .ifPresent(name -> PlaceAsk.cancel(mParts, send.target(), name));
                    } else if (answer.kept() && mCourse.goingOnHere(this::takeRetry)) {
                        mLines.sendEnded(send, SendOutcome.UNKNOWN, cause, NextStep.SEND_AGAIN);
                        openHere(send, answer.reservation());
                    } else {
                        answer.reservation()
                                .ifPresent(name -> PlaceAsk.cancel(mParts, send.target(), name));
                        next(send, SendOutcome.UNKNOWN, cause);
                    }
                });
    }

    private void openHere(BackendSend send, Optional<String> reservation) {
        mParts.metrics().retried(SendOutcome.UNKNOWN);
        mAnswer.dropUnfinished();
        mReader = Optional.empty();
        mParts.board().alive(send.target());
        mParts.board().placeAgain(send.target(), mRequest.caller().size());
        open(new EnginePlaces.Place(send.target(), reservation), Optional.empty());
    }

    /**
     * The engine has a place for the request, but could not get the prompt that was read elsewhere.
     *
     * <p>Safeguard: a prefill engine whose results vanish at once would make every request fail
     * that it reads for. The prompt is read in place, and the prefill engine is left out for a
     * time.
     */
    private void promptLost(BackendSend send, String cause) {
        long now = mParts.clock().millis();
        mLostReader = mReader;
        mLostReader.ifPresent(reader -> mParts.board().resultLost(reader, now));
        mReader = Optional.empty();
        boolean again = mCourse.sendingHereAgain(now, this::takeRetry);
        if (!again) {
            next(send, SendOutcome.REJECTED, cause);
            return;
        }
        mLines.sendEnded(send, SendOutcome.REJECTED, cause, NextStep.SEND_AGAIN);
        mParts.metrics().retried(SendOutcome.REJECTED);
        mParts.board().placeAgain(send.target(), mRequest.caller().size());
        open(new EnginePlaces.Place(send.target(), Optional.empty()), Optional.empty());
    }

    private void next(BackendSend send, SendOutcome outcome, String cause) {
        NextStep next = mCourse.ended(outcome, mParts.clock().millis(), this::takeRetry);
        if (next == NextStep.PASS_ON) {
            passOn();
            return;
        }
        mLines.sendEnded(send, outcome, cause, next);
        if (next == NextStep.SEND_AGAIN) {
            mParts.metrics().retried(outcome);
            mAnswer.dropUnfinished();
            place();
        } else {
            reply(outcome, cause);
        }
    }

    private boolean takeRetry() {
        return mParts.budget().tryTake(mRequest.service());
    }

    /** Frees a prompt that was read for a server that did not take it. */
    private void freeUnused(BackendSend send, SendOutcome outcome) {
        if (!outcome.mayHaveRun()) {
            mReader.ifPresent(
                    reader ->
                            send.prompt()
                                    .map(mParts.engines()::release)
                                    .ifPresent(call -> PlaceAsk.quietly(mParts, reader, call)));
        }
    }

    private void passOn() {
        mAnswer.finish();
        measureDemand();
        mParts.metrics().answered(mRequest.route().kind(), mLines.spentMillis());
        mLines.answered(mLast, mReader, mPlaceMillis);
        end();
    }

    private void measureDemand() {
        long first = mAnswer.firstMillis(mStartMillis);
        boolean whole = mRequest.caller().resumeAfter().isEmpty() && mAnswer.status() < 300;
        if (mRequest.engine().isPresent() && first >= 0 && whole) {
            WorkSize size = mRequest.caller().size();
            long made = mAnswer.events() * mRequest.engine().get().eventTokens();
            Demand demand = new Demand(size.promptTokens(), made, mLines.spentMillis() - first);
            mParts.demand().ended(mRequest.service(), size, demand);
        }
    }

    private void giveUp() {
        if (mEnded) {
            return;
        }
        SendOutcome none = mAsking ? SendOutcome.UNKNOWN : SendOutcome.NOT_SENT;
        SendOutcome outcome = mSend.map(BackendSend::giveUp).orElse(none);
        mSend = Optional.empty();
        reply(outcome, "no time left");
    }

    /** Ends the request without a whole answer of a backend server. */
    private void reply(SendOutcome outcome, String reason) {
        CallerReply reply = mCourse.reply(outcome, mParts.clock().millis());
        if (mCourse.isForwarding()) {
            mAnswer.cut();
            mLines.cut(mLast, reason);
        } else {
            mAnswer.refuse(reply, mRequest.comeBackMillis(mParts.demand()));
            mLines.failed(reply, reason);
        }
        mParts.metrics().refused(reply);
        end();
    }

    private void end() {
        mEnded = true;
        mGiveUp.cancel(false);
        if (mReading.isPresent()) {
            PromptReading reading = mReading.get();
            mReading = Optional.empty();
            reading.cancel();
            giveBack(mPlace.orElseThrow());
        }
        mPlaces.ifPresent(EnginePlaces::cancel);
        mPlaces = Optional.empty();
        mOnEnd.run();
    }
}
