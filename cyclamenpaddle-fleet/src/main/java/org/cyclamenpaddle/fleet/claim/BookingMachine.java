package org.cyclamenpaddle.fleet.claim;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cyclamenpaddle.core.id.Incarnation;
import org.cyclamenpaddle.core.invariant.Invariants;
import org.cyclamenpaddle.core.message.ClaimRequest;
import org.cyclamenpaddle.core.message.ClaimResponse;
import org.cyclamenpaddle.core.message.ClaimResponse.StoredResponse;
import org.cyclamenpaddle.core.outcome.Refusal;
import org.cyclamenpaddle.core.outcome.RefusalReason;
import org.cyclamenpaddle.fleet.claim.BookingEffect.Abort;
import org.cyclamenpaddle.fleet.claim.BookingEffect.Dispatch;
import org.cyclamenpaddle.fleet.claim.BookingEffect.QueryClaimHolder;
import org.cyclamenpaddle.fleet.claim.BookingEffect.QueryPeers;
import org.cyclamenpaddle.fleet.claim.BookingEffect.ReadClaim;
import org.cyclamenpaddle.fleet.claim.BookingEffect.RecordOutcome;
import org.cyclamenpaddle.fleet.claim.BookingEffect.Reply;
import org.cyclamenpaddle.fleet.claim.BookingEffect.ScheduleTimer;
import org.cyclamenpaddle.fleet.claim.BookingEffect.SendCall;
import org.cyclamenpaddle.fleet.claim.BookingEffect.WriteClaim;

/**
 * State machine of one booking on this host, from its claim to its outcome.
 *
 * <p>At-most-once execution per key follows from three rules. A call is dispatched only after the
 * platform has stored the claim of this attempt. A claim is never taken over by another attempt.
 * Only this machine writes the state that releases the key, {@link ClaimState#NOT_RUN}, and it
 * never dispatches afterwards. None of the rules reads a clock, so a pause of this host cannot
 * violate them.
 *
 * <p>Not thread-safe: events of one call must be delivered sequentially, and the effects of an
 * event must be performed before the next event is delivered.
 */
public final class BookingMachine {

    private final ClaimRecord mClaim;
    private final BookingSettings mSettings;
    private final long mDeadlineMillis;
    private BookingState mState = BookingState.NEW;
    private long mPeersQueriedMillis;
    private int mTries;
    private boolean mReplied;
    private Optional<ClaimRecord> mConflictingClaim = Optional.empty();
    private Optional<StoredResponse> mResponse = Optional.empty();

    /**
     * Creates the state machine of a call that has not started.
     *
     * @param claim the claim to make, in state {@link ClaimState#CLAIMED}
     * @param settings limits
     * @param deadlineMillis reading of this host's clock after which nothing is dispatched
     */
    public BookingMachine(ClaimRecord claim, BookingSettings settings, long deadlineMillis) {
        if (claim.state() != ClaimState.CLAIMED) {
            throw new IllegalArgumentException(
                    "new claim must be in state CLAIMED, but is " + claim.state());
        }
        mClaim = claim;
        mSettings = settings;
        mDeadlineMillis = deadlineMillis;
    }

    /** Starts the call by writing its claim. */
    public List<BookingEffect> start() {
        Invariants.require(mState == BookingState.NEW, () -> "booking started in state " + mState);
        mState = BookingState.CLAIMING;
        return List.of(new WriteClaim(mClaim));
    }

    /**
     * Processes an event.
     *
     * @param event the event
     * @param nowMillis reading of this host's clock
     */
    public List<BookingEffect> on(BookingEvent event, long nowMillis) {
        List<BookingEffect> effects = new ArrayList<>();
        if (event instanceof BookingEvent.ClaimWritten) {
            onClaimAcquired(nowMillis, effects);
        } else if (event instanceof BookingEvent.ClaimConflict conflict) {
            onExistingClaim(Optional.of(conflict.existing()), nowMillis, effects);
        } else if (event instanceof BookingEvent.ClaimResponseLost) {
            rereadClaim(effects);
        } else if (event instanceof BookingEvent.ClaimRead read) {
            onExistingClaim(read.existing(), nowMillis, effects);
        } else if (event instanceof BookingEvent.PlatformUnavailable) {
            onPlatformUnavailable(nowMillis, effects);
        } else if (event instanceof BookingEvent.ClaimHolderResponded responded) {
            onClaimHolderResponse(responded.response(), nowMillis, effects);
        } else if (event instanceof BookingEvent.ClaimHolderUnreachable) {
            onClaimHolderUnreachable(effects);
        } else if (event instanceof BookingEvent.PeersResponded responded) {
            onPeerResponses(responded, nowMillis, effects);
        } else if (event instanceof BookingEvent.TimerExpired) {
            retryClaim(effects);
        } else if (event instanceof BookingEvent.Timeout) {
            onDeadline(nowMillis, effects);
        } else {
            onBackendEvent(event, nowMillis, effects);
        }
        return effects;
    }

    /** Returns the claim of this attempt. */
    public ClaimRecord claim() {
        return mClaim;
    }

    /** Returns whether the call has reached a terminal state. */
    public boolean finished() {
        return mState.terminal();
    }

    /**
     * Returns this host's response to a {@link ClaimRequest} about its own attempt.
     *
     * <p>A call whose claim is still pending counts as running, since the claim may yet succeed.
     */
    public ClaimResponse claimResponse() {
        ClaimResponse.State state =
                switch (mState) {
                    case RAN -> ClaimResponse.State.RAN;
                    case NOT_RUN, QUERYING_PEERS -> ClaimResponse.State.NOT_RUN;
                    case UNKNOWN, CLAIMED_ELSEWHERE -> ClaimResponse.State.UNKNOWN;
                    default -> ClaimResponse.State.RUNNING;
                };
        return new ClaimResponse(state, mResponse);
    }

    private void onBackendEvent(BookingEvent event, long nowMillis, List<BookingEffect> effects) {
        if (event instanceof BookingEvent.Connected) {
            connected(nowMillis, effects);
        } else if (event instanceof BookingEvent.FirstByteWritten) {
            firstByte();
        } else if (event instanceof BookingEvent.ConnectFailedBeforeFirstByte) {
            connectFailed(nowMillis, effects);
        } else if (event instanceof BookingEvent.ResponseComplete complete) {
            complete(complete.response(), effects);
        } else if (event instanceof BookingEvent.FailedAfterFirstByte) {
            failed(effects);
        }
    }

    private void onClaimAcquired(long nowMillis, List<BookingEffect> effects) {
        if (mState == BookingState.CLAIMING || mState == BookingState.READING_CLAIM) {
            dispatch(nowMillis, effects);
        }
    }

    private void rereadClaim(List<BookingEffect> effects) {
        if (mState == BookingState.CLAIMING) {
            // The claim may have been stored although the response was lost. A refusal would be
            // correct but would leave the key claimed; dispatching without knowing could run the
            // call twice.
            mState = BookingState.READING_CLAIM;
            effects.add(new ReadClaim(mClaim.key()));
        }
    }

    private void onExistingClaim(
            Optional<ClaimRecord> existing, long nowMillis, List<BookingEffect> effects) {
        if (mState != BookingState.CLAIMING && mState != BookingState.READING_CLAIM) {
            return;
        }
        Optional<ClaimRecord> stored =
                existing.filter(claim -> claim.sameAttempt(mClaim) || !claim.state().releasesKey());
        if (stored.isEmpty()) {
            mState = BookingState.CLAIMING;
            effects.add(new WriteClaim(mClaim));
        } else if (stored.get().sameAttempt(mClaim)) {
            dispatch(nowMillis, effects);
        } else {
            onConflictingClaim(stored.get(), effects);
        }
    }

    private void onConflictingClaim(ClaimRecord existing, List<BookingEffect> effects) {
        mConflictingClaim = Optional.of(existing);
        if (!existing.fingerprint().equals(mClaim.fingerprint())) {
            refuseConflicting(RefusalReason.KEY_REUSED, effects);
        } else if (existing.state() == ClaimState.UNKNOWN) {
            refuseConflicting(RefusalReason.BACKEND_FAILED, effects);
        } else {
            query(existing, effects);
        }
    }

    private void query(ClaimRecord existing, List<BookingEffect> effects) {
        mState = BookingState.QUERYING_HOLDER;
        Optional<Incarnation> holder = existing.attempt().holder();
        if (holder.isEmpty()) {
            onClaimHolderUnreachable(effects);
            return;
        }
        effects.add(new QueryClaimHolder(holder.get(), query()));
    }

    private void onClaimHolderResponse(
            ClaimResponse response, long nowMillis, List<BookingEffect> effects) {
        if (mState != BookingState.QUERYING_HOLDER) {
            return;
        }
        switch (response.state()) {
            case RAN -> replay(response.response(), effects);
            case RUNNING, NOT_RUN ->
                    effects.add(new ScheduleTimer(nowMillis + mSettings.queryIntervalMillis()));
            default -> onClaimHolderUnreachable(effects);
        }
    }

    private void replay(Optional<StoredResponse> response, List<BookingEffect> effects) {
        if (response.isEmpty()) {
            refuseConflicting(RefusalReason.ANSWER_EXPIRED, effects);
            return;
        }
        mState = BookingState.CLAIMED_ELSEWHERE;
        reply(new BookingReply.Completed(response.get(), true), effects);
    }

    private void onClaimHolderUnreachable(List<BookingEffect> effects) {
        if (mState != BookingState.QUERYING_HOLDER) {
            return;
        }
        boolean ran =
                mConflictingClaim.filter(claim -> claim.state() == ClaimState.RAN).isPresent();
        refuseConflicting(ran ? RefusalReason.ANSWER_EXPIRED : RefusalReason.CLAIM_BUSY, effects);
    }

    private void retryClaim(List<BookingEffect> effects) {
        if (mState == BookingState.QUERYING_HOLDER) {
            // The holder may have released the key or ended the call since; the stored claim shows
            // which.
            mState = BookingState.CLAIMING;
            effects.add(new WriteClaim(mClaim));
        }
    }

    private void dispatch(long nowMillis, List<BookingEffect> effects) {
        Invariants.require(
                mState != BookingState.NOT_RUN,
                () -> "dispatch of " + mClaim.attempt() + " after its key was released");
        if (nowMillis >= mDeadlineMillis) {
            notRun(RefusalReason.PLATFORM_AWAY, effects);
            return;
        }
        mState = BookingState.DISPATCHING;
        mTries++;
        effects.add(new Dispatch(mClaim.attempt(), mTries));
    }

    private void connected(long nowMillis, List<BookingEffect> effects) {
        if (mState != BookingState.DISPATCHING) {
            return;
        }
        if (nowMillis >= mDeadlineMillis) {
            mState = BookingState.ABORTING;
            effects.add(new Abort());
            return;
        }
        mState = BookingState.SENT;
        effects.add(new SendCall());
    }

    private void firstByte() {
        Invariants.require(
                mState == BookingState.DISPATCHING
                        || mState == BookingState.ABORTING
                        || mState == BookingState.SENT,
                () -> "first byte of " + mClaim.attempt() + " written in state " + mState);
        mState = BookingState.SENT;
    }

    private void connectFailed(long nowMillis, List<BookingEffect> effects) {
        if (mState == BookingState.ABORTING) {
            notRun(RefusalReason.NO_BACKEND, effects);
        } else if (mState == BookingState.DISPATCHING) {
            if (mTries < mSettings.backendTries() && nowMillis < mDeadlineMillis) {
                dispatch(nowMillis, effects);
            } else {
                notRun(RefusalReason.NO_BACKEND, effects);
            }
        }
    }

    private void complete(StoredResponse response, List<BookingEffect> effects) {
        if (mState != BookingState.SENT && mState != BookingState.UNKNOWN) {
            return;
        }
        mState = BookingState.RAN;
        mResponse = Optional.of(response);
        effects.add(new RecordOutcome(mClaim, ClaimState.RAN));
        reply(new BookingReply.Completed(response, false), effects);
    }

    private void failed(List<BookingEffect> effects) {
        if (mState == BookingState.SENT || mState == BookingState.ABORTING) {
            // A byte may have been sent, so the call may have run. A retry could run it twice, and
            // reporting "not run" would make the caller retry.
            mState = BookingState.UNKNOWN;
            effects.add(new RecordOutcome(mClaim, ClaimState.UNKNOWN));
            refuse(RefusalReason.BACKEND_FAILED, effects);
        }
    }

    private void onPlatformUnavailable(long nowMillis, List<BookingEffect> effects) {
        if (mState == BookingState.READING_CLAIM) {
            effects.add(new RecordOutcome(mClaim, ClaimState.NOT_RUN));
        }
        // If no claim was sent there is none to release. Recording every refused call would exhaust
        // memory during a long outage.
        if (mState == BookingState.CLAIMING || mState == BookingState.READING_CLAIM) {
            queryPeers(nowMillis, effects);
        }
    }

    private void queryPeers(long nowMillis, List<BookingEffect> effects) {
        if (mConflictingClaim.isPresent()) {
            mState = BookingState.QUERYING_HOLDER;
            onClaimHolderUnreachable(effects);
            return;
        }
        // This attempt will not run, but the request may be a resend of one that ran through
        // another host. Reporting "not run" would make the caller book again with a new key.
        mState = BookingState.QUERYING_PEERS;
        mPeersQueriedMillis = nowMillis;
        effects.add(new QueryPeers(query()));
    }

    private void onPeerResponses(
            BookingEvent.PeersResponded responded, long nowMillis, List<BookingEffect> effects) {
        if (mState != BookingState.QUERYING_PEERS) {
            return;
        }
        mState = BookingState.NOT_RUN;
        // If this host was paused, the caller may have sent the call again through another host
        // after the peers responded.
        boolean recent = nowMillis - mPeersQueriedMillis <= mSettings.peerResponseMaxAgeMillis();
        boolean unused = recent && responded.provesUnused();
        refuse(unused ? RefusalReason.PLATFORM_AWAY : RefusalReason.CLAIM_UNREADABLE, effects);
    }

    private ClaimRequest query() {
        return new ClaimRequest(mClaim.key().service(), mClaim.key().key());
    }

    private void onDeadline(long nowMillis, List<BookingEffect> effects) {
        switch (mState) {
            case CLAIMING, READING_CLAIM -> {
                effects.add(new RecordOutcome(mClaim, ClaimState.NOT_RUN));
                queryPeers(nowMillis, effects);
            }
            case QUERYING_PEERS -> {
                mState = BookingState.NOT_RUN;
                refuse(RefusalReason.CLAIM_UNREADABLE, effects);
            }
            case QUERYING_HOLDER -> refuseConflicting(RefusalReason.CLAIM_BUSY, effects);
            case DISPATCHING -> {
                // The first byte may be written concurrently. Only the writer knows, so the outcome
                // is reported after the writer has confirmed the abort.
                mState = BookingState.ABORTING;
                effects.add(new Abort());
            }
            case ABORTING, SENT -> refuse(RefusalReason.DEADLINE_PASSED, effects);
            default -> {
                // A reply was already sent.
            }
        }
    }

    private void notRun(RefusalReason reason, List<BookingEffect> effects) {
        mState = BookingState.NOT_RUN;
        effects.add(new RecordOutcome(mClaim, ClaimState.NOT_RUN));
        refuse(reason, effects);
    }

    private void refuseConflicting(RefusalReason reason, List<BookingEffect> effects) {
        mState = BookingState.CLAIMED_ELSEWHERE;
        refuse(reason, effects);
    }

    private void refuse(RefusalReason reason, List<BookingEffect> effects) {
        reply(new BookingReply.Refused(Refusal.of(reason, "")), effects);
    }

    private void reply(BookingReply reply, List<BookingEffect> effects) {
        if (!mReplied) {
            mReplied = true;
            effects.add(new Reply(reply));
        }
    }
}
