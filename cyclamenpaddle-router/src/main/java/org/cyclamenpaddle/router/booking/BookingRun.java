package org.cyclamenpaddle.router.booking;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.cyclamenpaddle.core.config.BackendSpec;
import org.cyclamenpaddle.core.id.AttemptId;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.message.ClaimRequest;
import org.cyclamenpaddle.core.message.ClaimResponse;
import org.cyclamenpaddle.core.outcome.RetryReason;
import org.cyclamenpaddle.core.outcome.RunOutcome;
import org.cyclamenpaddle.engine.plain.PlainRequest;
import org.cyclamenpaddle.engine.plain.PlainResult;
import org.cyclamenpaddle.fleet.claim.BookingEffect;
import org.cyclamenpaddle.fleet.claim.BookingEvent;
import org.cyclamenpaddle.fleet.claim.BookingMachine;
import org.cyclamenpaddle.fleet.claim.BookingReply;
import org.cyclamenpaddle.router.event.LogEvent;
import org.cyclamenpaddle.router.explain.DecisionStep;
import org.cyclamenpaddle.router.worker.SerialExecutor;

/** One keyed call under way: feeds its machine and performs the effects. */
final class BookingRun {

    /** Longest ask of the peers after the deadline, in milliseconds. */
    private static final long PEERS_MILLIS = 400;

    private final Bookings.KeyedCall mCall;
    private final BookingServices mServices;
    private final BookingMachine mMachine;
    private final OwnClaims mOwnClaims;
    private final SerialExecutor mSerial;
    private final CompletableFuture<BookingReply> mReply = new CompletableFuture<>();
    private final Set<BackendId> mTried = new HashSet<>();

    /** What this host itself knows of a key; called on the serial executor. */
    @FunctionalInterface
    interface OwnClaims {

        /** Answers an ask, leaving out the attempt that asks. */
        ClaimResponse answer(ClaimRequest ask, Optional<AttemptId> asking);
    }

    BookingRun(
            Bookings.KeyedCall call,
            BookingServices services,
            BookingMachine machine,
            SerialExecutor serial,
            OwnClaims ownClaims) {
        mCall = call;
        mServices = services;
        mMachine = machine;
        mSerial = serial;
        mOwnClaims = ownClaims;
    }

    /** Starts the call; to be run on the serial executor. */
    void start() {
        long deadline = mCall.call().timeoutMillis();
        mServices.workers().schedule(deadline, () -> feed(new BookingEvent.Timeout()));
        // The first may only have led to an ask of the peers, which must not last for ever.
        mServices
                .workers()
                .schedule(deadline + PEERS_MILLIS, () -> feed(new BookingEvent.Timeout()));
        perform(mMachine.start());
    }

    /** Completes with what the caller is told. */
    CompletableFuture<BookingReply> reply() {
        return mReply;
    }

    private void feed(BookingEvent event) {
        mSerial.execute(() -> take(event));
    }

    private void take(BookingEvent event) {
        perform(mMachine.on(event, mServices.clock().millis()));
    }

    private void perform(List<BookingEffect> effects) {
        effects.forEach(this::perform);
    }

    private void perform(BookingEffect effect) {
        if (effect instanceof BookingEffect.WriteClaim write) {
            record(DecisionStep.CLAIM, mMachine.claim().attempt().value());
            mServices.claims().claim(write.claim(), verdict -> feed(verdict.event()));
        } else if (effect instanceof BookingEffect.Dispatch dispatch) {
            dispatch(dispatch);
        } else if (effect instanceof BookingEffect.QueryClaimHolder ask) {
            askClaimer(ask);
        } else if (effect instanceof BookingEffect.QueryPeers ask) {
            askPeers(ask.request());
        } else if (effect instanceof BookingEffect.RecordOutcome outcome) {
            mServices.claims().outcome(outcome.claim(), outcome.outcome());
        } else if (effect instanceof BookingEffect.WakeAt wake) {
            long delay = Math.max(0, wake.millis() - mServices.clock().millis());
            mServices.workers().schedule(delay, () -> feed(new BookingEvent.Wake()));
        } else if (effect instanceof BookingEffect.Reply reply) {
            reply(reply.reply());
        }
        // SendCall, Abort and ReadClaim ask for nothing here: connecting and writing are one call,
        // whose result tells whether a byte may have left, and the shard itself reads back.
    }

    private void dispatch(BookingEffect.Dispatch dispatch) {
        Optional<BackendSpec> chosen = mServices.selector().select(mCall.service().name(), mTried);
        if (chosen.isEmpty()) {
            take(new BookingEvent.ConnectFailedBeforeFirstByte());
            return;
        }
        BackendSpec backend = chosen.get();
        mTried.add(backend.id());
        record(DecisionStep.CALL_SENT, backend.id() + " as " + dispatch.attempt());
        mServices.selector().inFlight(backend.id(), 1);
        mServices
                .client()
                .call(backend, request(dispatch.attempt()))
                .thenAccept(result -> mSerial.execute(() -> called(backend, result)));
    }

    private PlainRequest request(AttemptId attempt) {
        return new PlainRequest(
                attempt,
                mCall.call().method(),
                mCall.pathAndQuery(),
                mCall.contentType(),
                mCall.body(),
                Optional.of(mCall.key()),
                mCall.call().timeoutMillis());
    }

    private void called(BackendSpec backend, PlainResult result) {
        mServices.selector().inFlight(backend.id(), -1);
        if (result instanceof PlainResult.NothingSent nothing) {
            record(DecisionStep.RETRIED, backend.id() + ": " + nothing.reason());
            mServices.selector().onUnreachable(backend.id());
            mServices.metrics().recordRetry(RetryReason.CONNECT_FAILED);
            take(new BookingEvent.ConnectFailedBeforeFirstByte());
            return;
        }
        take(new BookingEvent.FirstByteWritten());
        if (result instanceof PlainResult.Response answered) {
            record(DecisionStep.CALL_SENT, backend.id() + ": status " + answered.status());
            take(
                    new BookingEvent.ResponseComplete(
                            new ClaimResponse.StoredResponse(
                                    answered.status(),
                                    answered.contentType(),
                                    Bookings.text(answered.body()))));
        } else if (result instanceof PlainResult.MaybeSent maybe) {
            record(DecisionStep.CALL_SENT, backend.id() + ": " + maybe.reason());
            mServices.log().log(
                    LogEvent.BOOKING_UNKNOWN,
                    mCall.request(),
                    mCall.service().name(),
                    backend.id(),
                    mMachine.claim().attempt());
            take(new BookingEvent.FailedAfterFirstByte());
        }
    }

    private void askClaimer(BookingEffect.QueryClaimHolder ask) {
        record(DecisionStep.CLAIM, "ask " + ask.holder());
        if (ask.holder().equals(mServices.self())) {
            take(new BookingEvent.ClaimHolderResponded(ownAnswer(ask.request())));
            return;
        }
        mServices
                .claimHolders()
                .query(ask.holder(), ask.request())
                .thenAccept(
                        found ->
                                feed(
                                        found.<BookingEvent>map(
                                                        BookingEvent.ClaimHolderResponded::new)
                                                .orElseGet(
                                                        BookingEvent.ClaimHolderUnreachable::new)));
    }

    private void askPeers(ClaimRequest ask) {
        record(DecisionStep.CLAIM, "platform away, ask all hosts");
        ClaimResponse own = ownAnswer(ask);
        mServices
                .claimHolders()
                .queryAll(ask)
                .thenAccept(
                        answers -> {
                            List<ClaimResponse.State> states = new ArrayList<>(answers.states());
                            states.add(own.state());
                            feed(new BookingEvent.PeersResponded(states, answers.complete()));
                        });
    }

    private ClaimResponse ownAnswer(ClaimRequest ask) {
        return mOwnClaims.answer(ask, Optional.of(mMachine.claim().attempt()));
    }

    private void reply(BookingReply reply) {
        RunOutcome outcome = reply.outcome();
        mServices.metrics().recordBooking(outcome);
        if (reply instanceof BookingReply.Refused refused) {
            mServices.metrics().recordRefusal(refused.refusal().reason());
        }
        record(DecisionStep.ANSWERED, outcome.code());
        mReply.complete(reply);
    }

    private void record(DecisionStep step, String detail) {
        mServices.recorder().record(mCall.request(), step, detail);
    }
}
