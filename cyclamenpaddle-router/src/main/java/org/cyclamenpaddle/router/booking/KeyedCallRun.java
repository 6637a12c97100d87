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

/** Runs one keyed call: feeds events to its state machine and performs the resulting effects. */
final class KeyedCallRun {

    /** Maximum duration of a query to the peers after the deadline. */
    private static final long PEER_QUERY_MILLIS = 400;

    private final Bookings.KeyedCall mCall;
    private final BookingServices mServices;
    private final BookingMachine mMachine;
    private final LocalClaims mLocalClaims;
    private final SerialExecutor mSerial;
    private final CompletableFuture<BookingReply> mReply = new CompletableFuture<>();
    private final Set<BackendId> mTried = new HashSet<>();

    /** Looks up a key among this host's own claims; called on the serial executor. */
    @FunctionalInterface
    interface LocalClaims {

        /** Returns the claim state of the key, ignoring the querying attempt. */
        ClaimResponse lookUp(ClaimRequest query, Optional<AttemptId> querying);
    }

    KeyedCallRun(
            Bookings.KeyedCall call,
            BookingServices services,
            BookingMachine machine,
            SerialExecutor serial,
            LocalClaims localClaims) {
        mCall = call;
        mServices = services;
        mMachine = machine;
        mSerial = serial;
        mLocalClaims = localClaims;
    }

    /** Starts the call; to be run on the serial executor. */
    void start() {
        long deadline = mCall.call().timeoutMillis();
        mServices.workers().schedule(deadline, () -> feed(new BookingEvent.Timeout()));
        // The first timeout may only have started a query to the peers, which must end too.
        mServices
                .workers()
                .schedule(deadline + PEER_QUERY_MILLIS, () -> feed(new BookingEvent.Timeout()));
        perform(mMachine.start());
    }

    /** Completes with the reply to the caller. */
    CompletableFuture<BookingReply> reply() {
        return mReply;
    }

    private void feed(BookingEvent event) {
        mSerial.execute(() -> handle(event));
    }

    private void handle(BookingEvent event) {
        perform(mMachine.on(event, mServices.clock().millis()));
    }

    private void perform(List<BookingEffect> effects) {
        effects.forEach(this::perform);
    }

    private void perform(BookingEffect effect) {
        if (effect instanceof BookingEffect.WriteClaim write) {
            record(DecisionStep.CLAIM, mMachine.claim().attempt().value());
            mServices.claims().writeClaim(write.claim(), verdict -> feed(verdict.event()));
        } else if (effect instanceof BookingEffect.Dispatch dispatch) {
            dispatch(dispatch);
        } else if (effect instanceof BookingEffect.QueryClaimHolder query) {
            queryHolder(query);
        } else if (effect instanceof BookingEffect.QueryPeers query) {
            queryPeers(query.request());
        } else if (effect instanceof BookingEffect.RecordOutcome outcome) {
            mServices.claims().writeOutcome(outcome.claim(), outcome.outcome());
        } else if (effect instanceof BookingEffect.ScheduleTimer timer) {
            long delay = Math.max(0, timer.millis() - mServices.clock().millis());
            mServices.workers().schedule(delay, () -> feed(new BookingEvent.TimerExpired()));
        } else if (effect instanceof BookingEffect.Reply reply) {
            reply(reply.reply());
        }
        // SendCall, Abort and ReadClaim need no action: connecting and writing are one call, whose
        // result states whether a byte may have been sent, and the shard itself reads claims back.
    }

    private void dispatch(BookingEffect.Dispatch dispatch) {
        Optional<BackendSpec> chosen = mServices.selector().select(mCall.service().name(), mTried);
        if (chosen.isEmpty()) {
            handle(new BookingEvent.ConnectFailedBeforeFirstByte());
            return;
        }
        BackendSpec backend = chosen.get();
        mTried.add(backend.id());
        record(DecisionStep.CALL_SENT, backend.id() + " as " + dispatch.attempt());
        mServices.selector().inFlight(backend.id(), 1);
        mServices
                .client()
                .call(backend, request(dispatch.attempt()))
                .thenAccept(result -> mSerial.execute(() -> onResult(backend, result)));
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

    private void onResult(BackendSpec backend, PlainResult result) {
        mServices.selector().inFlight(backend.id(), -1);
        if (result instanceof PlainResult.NothingSent nothing) {
            record(DecisionStep.RETRIED, backend.id() + ": " + nothing.reason());
            mServices.selector().onUnreachable(backend.id());
            mServices.metrics().recordRetry(RetryReason.CONNECT_FAILED);
            handle(new BookingEvent.ConnectFailedBeforeFirstByte());
            return;
        }
        handle(new BookingEvent.FirstByteWritten());
        if (result instanceof PlainResult.Response answered) {
            record(DecisionStep.CALL_SENT, backend.id() + ": status " + answered.status());
            handle(
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
            handle(new BookingEvent.FailedAfterFirstByte());
        }
    }

    private void queryHolder(BookingEffect.QueryClaimHolder query) {
        record(DecisionStep.CLAIM, "query " + query.holder());
        if (query.holder().equals(mServices.self())) {
            handle(new BookingEvent.ClaimHolderResponded(lookUpLocally(query.request())));
            return;
        }
        mServices
                .claimHolders()
                .query(query.holder(), query.request())
                .thenAccept(
                        found ->
                                feed(
                                        found.<BookingEvent>map(
                                                        BookingEvent.ClaimHolderResponded::new)
                                                .orElseGet(
                                                        BookingEvent.ClaimHolderUnreachable::new)));
    }

    private void queryPeers(ClaimRequest query) {
        record(DecisionStep.CLAIM, "platform unavailable, query all hosts");
        ClaimResponse local = lookUpLocally(query);
        mServices
                .claimHolders()
                .queryAll(query)
                .thenAccept(
                        peerStates -> {
                            List<ClaimResponse.State> states = new ArrayList<>(peerStates.states());
                            states.add(local.state());
                            feed(new BookingEvent.PeersResponded(states, peerStates.complete()));
                        });
    }

    private ClaimResponse lookUpLocally(ClaimRequest query) {
        return mLocalClaims.lookUp(query, Optional.of(mMachine.claim().attempt()));
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
