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
import org.cyclamenpaddle.relay.retry.CallerReply;
import org.cyclamenpaddle.relay.retry.RetryDecision;
import org.cyclamenpaddle.relay.retry.RetryLimits;
import org.cyclamenpaddle.relay.retry.RetryPolicy;
import org.cyclamenpaddle.relay.role.Demand;
import org.cyclamenpaddle.relay.route.RouteKind;
import org.cyclamenpaddle.relay.wire.BackendCall;
import org.cyclamenpaddle.relay.wire.PromptHandle;

/**
 * Carries one request from its arrival to its end: reserves an engine, sends it, ends it exactly
 * once.
 *
 * <p>All methods run on the event loop of the caller's connection.
 */
final class RequestExchange {

    private final RelayContext mRelay;
    private final RelayRequest mRequest;
    private final EventLoop mLoop;
    private final CallerAnswer mAnswer;
    private final Runnable mOnEnd;
    private final RetryPolicy mRetryPolicy;
    private final RequestLog mRequestLog;
    private final long mStartMillis;
    private final Set<BackendId> mTried = new HashSet<>();
    private ScheduledFuture<?> mGiveUp;
    private Optional<ReservationSearch> mPlaces = Optional.empty();
    private Optional<ReservationSearch.Place> mPlace = Optional.empty();
    private Optional<PrefillExchange> mReading = Optional.empty();
    private Optional<BackendAttempt> mSend = Optional.empty();
    private Optional<Backend> mLast = Optional.empty();
    private Optional<Backend> mReader = Optional.empty();
    private Optional<Backend> mLostReader = Optional.empty();
    private long mPlaceMillis = -1;
    private boolean mAsking;
    private boolean mEnded;

    RequestExchange(
            RelayContext relay,
            RelayRequest request,
            EventLoop loop,
            HttpResponseWriter writer,
            RetryAfter retryAfter,
            Runnable onEnd) {
        mRelay = relay;
        mRequest = request;
        mLoop = loop;
        mOnEnd = onEnd;
        mStartMillis = relay.clock().millis();
        long callerMillis = request.caller().callerTimeoutMillis().orElse(Long.MAX_VALUE);
        mRetryPolicy = new RetryPolicy(RetryLimits.of(request.route(), callerMillis), mStartMillis);
        mAnswer = new CallerAnswer(writer, request, retryAfter, mRetryPolicy);
        mRequestLog = new RequestLog(relay, request, mRetryPolicy, mAnswer, mStartMillis);
    }

    void start() {
        mRelay.budget().recordRequest(mRequest.service());
        if (mRequest.engine().isPresent()) {
            mRelay.demand().recordStart(mRequest.service(), mRequest.caller().size());
        }
        long left = mRetryPolicy.remainingMillis(mStartMillis);
        mGiveUp = mLoop.schedule(this::giveUp, left, TimeUnit.MILLISECONDS);
        place();
    }

    /** The caller's connection has gone, or its stream was cancelled. */
    void callerGone() {
        if (mEnded) {
            return;
        }
        mSend.ifPresent(BackendAttempt::cancel);
        mRelay.metrics().recordDisconnect();
        mRequestLog.callerGone(mLast);
        end();
    }

    private void place() {
        if (mRequest.engine().isPresent()) {
            ReservationSearch places =
                    new ReservationSearch(mRelay, mRequest, mLoop, mTried, this::placeFound);
            mPlaces = Optional.of(places);
            places.find();
            return;
        }
        Optional<Backend> runner =
                mRelay.board()
                        .select(
                                mRequest.service(),
                                mRequest.caller().size(),
                                mTried,
                                mRelay.clock().millis());
        if (runner.isEmpty()) {
            reply(SendOutcome.NOT_SENT, "no backend server can be reached");
        } else {
            send(new ReservationSearch.Place(runner.get(), Optional.empty()), Optional.empty());
        }
    }

    private void placeFound(Optional<ReservationSearch.Place> found) {
        mPlaces = Optional.empty();
        if (found.isEmpty()) {
            reply(SendOutcome.NOT_SENT, "no engine has room");
            return;
        }
        long now = mRelay.clock().millis();
        mPlaceMillis = now - mStartMillis;
        ReservationSearch.Place place = found.get();
        mReader = mRelay.board().selectPrefillEngine(place.runner(), mRequest.caller().size(), now);
        if (mReader.isEmpty()) {
            send(place, Optional.empty());
            return;
        }
        PrefillExchange reading =
                new PrefillExchange(
                        mRelay, mRequest, mReader.get(), handle -> promptRead(place, handle));
        mReading = Optional.of(reading);
        mPlace = Optional.of(place);
        reading.start(mLoop, mRetryPolicy.remainingMillis(now));
    }

    private void promptRead(ReservationSearch.Place place, Optional<PromptHandle> handle) {
        boolean rejected = mReading.map(PrefillExchange::rejected).orElse(false);
        mReading = Optional.empty();
        if (rejected && !takeRetry()) {
            giveBack(place);
            reply(SendOutcome.NOT_SENT, "prefill engine full, retry budget empty");
            return;
        }
        send(place, handle);
    }

    /** Frees the place of a request that ends before it was sent. */
    private void giveBack(ReservationSearch.Place place) {
        place.reservation().ifPresent(name -> ReserveCall.cancel(mRelay, place.runner(), name));
        release(place.runner());
    }

    private void release(Backend runner) {
        mRelay.board()
                .recordOutcome(
                        runner,
                        mRequest.caller().size(),
                        true,
                        SendOutcome.ABANDONED,
                        mRelay.clock().millis());
    }

    private void send(ReservationSearch.Place place, Optional<PromptHandle> prompt) {
        Backend runner = place.runner();
        mTried.add(runner.id());
        mLast = Optional.of(runner);
        mRetryPolicy.beginSend();
        open(place, prompt);
    }

    private void open(ReservationSearch.Place place, Optional<PromptHandle> prompt) {
        Backend runner = place.runner();
        BackendCall call =
                new BackendCall(
                        runner,
                        mRetryPolicy.remainingMillis(mRelay.clock().millis()),
                        false,
                        prompt,
                        place.reservation(),
                        mAnswer.lastEventId());
        boolean othersLeft = mRequest.route().repeatable() && mRetryPolicy.hasAttemptsLeft();
        BackendAttempt send =
                new BackendAttempt(
                        mRelay,
                        mRequest,
                        call,
                        mAnswer,
                        new BackendAttempt.Terms(
                                mReader.isPresent(),
                                othersLeft,
                                connection(place),
                                mRetryPolicy::recordDuplicateSend),
                        this::sendEnded);
        mSend = Optional.of(send);
        send.start(mLoop);
    }

    private BackendAttempt.Connection connection(ReservationSearch.Place place) {
        if (place.reservation().isPresent()) {
            return BackendAttempt.Connection.PROVEN;
        }
        return mRequest.route().kind() == RouteKind.IDEMPOTENT
                ? BackendAttempt.Connection.KEPT
                : BackendAttempt.Connection.NEW;
    }

    private void sendEnded(SendOutcome outcome, String cause) {
        BackendAttempt send = mSend.orElseThrow();
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
            mRelay.board().recordOutdated(target, mRelay.clock().millis());
            mLostReader.ifPresent(mRelay.board()::recordAlive);
        }
    }

    private boolean mayGoOnHere() {
        return mRequest.engine().isPresent()
                && mRetryPolicy.mayResumeOnSameBackend(mRelay.clock().millis());
    }

    /**
     * Lets a stream whose connection broke go on at the engine that ran it, if that still has room.
     *
     * <p>An engine whose answer was lost on the way still has the prompt in its memory. Elsewhere
     * it would be read again, with a pause longer than callers accept. An engine that has crashed
     * refuses the ask at once, and the stream goes on elsewhere as before.
     */
    private void goOnHere(BackendAttempt send, String cause) {
        mAsking = true;
        ReserveCall.send(
                mRelay,
                mRequest,
                mLoop,
                send.target(),
                answer -> {
                    mAsking = false;
                    if (mEnded) {
                        answer.reservation()
                                .ifPresent(name -> ReserveCall.cancel(mRelay, send.target(), name));
                    } else if (answer.kept() && mRetryPolicy.resumeOnSameBackend(this::takeRetry)) {
                        mRequestLog.sendEnded(
                                send, SendOutcome.UNKNOWN, cause, RetryDecision.SEND_AGAIN);
                        openHere(send, answer.reservation());
                    } else {
                        answer.reservation()
                                .ifPresent(name -> ReserveCall.cancel(mRelay, send.target(), name));
                        next(send, SendOutcome.UNKNOWN, cause);
                    }
                });
    }

    private void openHere(BackendAttempt send, Optional<String> reservation) {
        mRelay.metrics().recordRetry(SendOutcome.UNKNOWN);
        mAnswer.dropUnfinished();
        mReader = Optional.empty();
        mRelay.board().recordAlive(send.target());
        mRelay.board().recordResend(send.target(), mRequest.caller().size());
        open(new ReservationSearch.Place(send.target(), reservation), Optional.empty());
    }

    /**
     * The engine has a place for the request, but could not get the prompt that was read elsewhere.
     *
     * <p>Safeguard: a prefill engine whose results vanish at once would make every request fail
     * that it reads for. The prompt is read in place, and the prefill engine is left out for a
     * time.
     */
    private void promptLost(BackendAttempt send, String cause) {
        long now = mRelay.clock().millis();
        mLostReader = mReader;
        mLostReader.ifPresent(reader -> mRelay.board().recordPrefillResultLost(reader, now));
        mReader = Optional.empty();
        boolean again = mRetryPolicy.resendToSameBackend(now, this::takeRetry);
        if (!again) {
            next(send, SendOutcome.REJECTED, cause);
            return;
        }
        mRequestLog.sendEnded(send, SendOutcome.REJECTED, cause, RetryDecision.SEND_AGAIN);
        mRelay.metrics().recordRetry(SendOutcome.REJECTED);
        mRelay.board().recordResend(send.target(), mRequest.caller().size());
        open(new ReservationSearch.Place(send.target(), Optional.empty()), Optional.empty());
    }

    private void next(BackendAttempt send, SendOutcome outcome, String cause) {
        RetryDecision next =
                mRetryPolicy.endSend(outcome, mRelay.clock().millis(), this::takeRetry);
        if (next == RetryDecision.PASS_ON) {
            passOn();
            return;
        }
        mRequestLog.sendEnded(send, outcome, cause, next);
        if (next == RetryDecision.SEND_AGAIN) {
            mRelay.metrics().recordRetry(outcome);
            mAnswer.dropUnfinished();
            place();
        } else {
            reply(outcome, cause);
        }
    }

    private boolean takeRetry() {
        return mRelay.budget().tryTake(mRequest.service());
    }

    /** Frees a prompt that was read for a server that did not take it. */
    private void freeUnused(BackendAttempt send, SendOutcome outcome) {
        if (!outcome.mayHaveRun()) {
            mReader.ifPresent(
                    reader ->
                            send.prompt()
                                    .map(mRelay.engineMessages()::release)
                                    .ifPresent(call -> ReserveCall.quietly(mRelay, reader, call)));
        }
    }

    private void passOn() {
        mAnswer.finish();
        measureDemand();
        mRelay.metrics().recordResponse(mRequest.route().kind(), mRequestLog.spentMillis());
        mRequestLog.answered(mLast, mReader, mPlaceMillis);
        end();
    }

    private void measureDemand() {
        long first = mAnswer.firstMillis(mStartMillis);
        boolean whole = mRequest.caller().resumeAfter().isEmpty() && mAnswer.status() < 300;
        if (mRequest.engine().isPresent() && first >= 0 && whole) {
            WorkSize size = mRequest.caller().size();
            long made = mAnswer.events() * mRequest.engine().get().tokensPerEvent();
            Demand demand =
                    new Demand(size.promptTokens(), made, mRequestLog.spentMillis() - first);
            mRelay.demand().recordEnd(mRequest.service(), size, demand);
        }
    }

    private void giveUp() {
        if (mEnded) {
            return;
        }
        SendOutcome none = mAsking ? SendOutcome.UNKNOWN : SendOutcome.NOT_SENT;
        SendOutcome outcome = mSend.map(BackendAttempt::giveUp).orElse(none);
        mSend = Optional.empty();
        reply(outcome, "no time left");
    }

    /** Ends the request without a whole answer of a backend server. */
    private void reply(SendOutcome outcome, String reason) {
        CallerReply reply = mRetryPolicy.reply(outcome, mRelay.clock().millis());
        if (mRetryPolicy.isForwarding()) {
            mAnswer.cut();
            mRequestLog.cut(mLast, reason);
        } else {
            mAnswer.refuse(reply, mRequest.comeBackMillis(mRelay.demand()));
            mRequestLog.failed(reply, reason);
        }
        mRelay.metrics().recordRefusal(reply);
        end();
    }

    private void end() {
        mEnded = true;
        mGiveUp.cancel(false);
        if (mReading.isPresent()) {
            PrefillExchange reading = mReading.get();
            mReading = Optional.empty();
            reading.cancel();
            giveBack(mPlace.orElseThrow());
        }
        mPlaces.ifPresent(ReservationSearch::cancel);
        mPlaces = Optional.empty();
        mOnEnd.run();
    }
}
