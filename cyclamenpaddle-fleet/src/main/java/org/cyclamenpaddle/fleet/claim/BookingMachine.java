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
import org.cyclamenpaddle.fleet.claim.BookingEffect.SendCall;
import org.cyclamenpaddle.fleet.claim.BookingEffect.WakeAt;
import org.cyclamenpaddle.fleet.claim.BookingEffect.WriteClaim;

/**
 * Course of one keyed call through this host, from its claim to its outcome.
 *
 * <p>At most one run by key rests on three rules. A call is dispatched only after the platform
 * keeps the claim of this very attempt. A claim is never taken over by another attempt. And the one
 * mark that frees the key, {@link ClaimState#NOT_RUN}, is made by this machine alone, after which
 * it never dispatches. None of them reads a clock, so a pause of this host can break none.
 *
 * <p>Not thread-safe: a caller feeds the events of one call one by one, and carries out the effects
 * of one before it feeds the next.
 */
public final class BookingMachine {

    private final ClaimRecord mClaim;
    private final BookingSettings mSettings;
    private final long mDeadlineMillis;
    private BookingState mState = BookingState.NEW;
    private long mAskedPeersMillis;
    private int mTries;
    private boolean mReplied;
    private Optional<ClaimRecord> mForeign = Optional.empty();
    private Optional<StoredResponse> mAnswer = Optional.empty();

    /**
     * Creates the machine of a call that has not started.
     *
     * @param claim the claim to make, in state {@link ClaimState#CLAIMED}
     * @param settings limits
     * @param deadlineMillis reading of this host's clock after which nothing is dispatched
     */
    public BookingMachine(ClaimRecord claim, BookingSettings settings, long deadlineMillis) {
        if (claim.state() != ClaimState.CLAIMED) {
            throw new IllegalArgumentException("claim to make is already " + claim.state());
        }
        mClaim = claim;
        mSettings = settings;
        mDeadlineMillis = deadlineMillis;
    }

    /** Starts the call by its claim. */
    public List<BookingEffect> start() {
        Invariants.require(mState == BookingState.NEW, () -> "booking started in state " + mState);
        mState = BookingState.CLAIMING;
        return List.of(new WriteClaim(mClaim));
    }

    /**
     * Takes an event in.
     *
     * @param event what happened
     * @param nowMillis reading of this host's clock
     */
    public List<BookingEffect> on(BookingEvent event, long nowMillis) {
        List<BookingEffect> effects = new ArrayList<>();
        if (event instanceof BookingEvent.ClaimWritten) {
            held(nowMillis, effects);
        } else if (event instanceof BookingEvent.ClaimConflict conflict) {
            standing(Optional.of(conflict.existing()), nowMillis, effects);
        } else if (event instanceof BookingEvent.ClaimResponseLost) {
            readBack(effects);
        } else if (event instanceof BookingEvent.ClaimRead read) {
            standing(read.existing(), nowMillis, effects);
        } else if (event instanceof BookingEvent.PlatformUnavailable) {
            withoutClaim(nowMillis, effects);
        } else if (event instanceof BookingEvent.ClaimHolderResponded answered) {
            claimerAnswered(answered.response(), nowMillis, effects);
        } else if (event instanceof BookingEvent.ClaimHolderUnreachable) {
            claimerUnreachable(effects);
        } else if (event instanceof BookingEvent.PeersResponded answered) {
            peersAnswered(answered, nowMillis, effects);
        } else if (event instanceof BookingEvent.Wake) {
            wake(effects);
        } else if (event instanceof BookingEvent.Timeout) {
            timeout(nowMillis, effects);
        } else {
            onBackend(event, nowMillis, effects);
        }
        return effects;
    }

    /** Returns the claim of this attempt. */
    public ClaimRecord claim() {
        return mClaim;
    }

    /** Returns whether nothing more can happen to this call. */
    public boolean finished() {
        return mState.last();
    }

    /**
     * Returns what this host answers to {@link ClaimRequest} about its own attempt.
     *
     * <p>A call whose claim is still open counts as running, since it may yet be had.
     */
    public ClaimResponse claimResponse() {
        ClaimResponse.State state =
                switch (mState) {
                    case RAN -> ClaimResponse.State.RAN;
                    case NOT_RUN, ASKING_PEERS -> ClaimResponse.State.NOT_RUN;
                    case UNKNOWN, FOREIGN -> ClaimResponse.State.UNKNOWN;
                    default -> ClaimResponse.State.RUNNING;
                };
        return new ClaimResponse(state, mAnswer);
    }

    private void onBackend(BookingEvent event, long nowMillis, List<BookingEffect> effects) {
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

    private void held(long nowMillis, List<BookingEffect> effects) {
        if (mState == BookingState.CLAIMING || mState == BookingState.READING_BACK) {
            dispatch(nowMillis, effects);
        }
    }

    private void readBack(List<BookingEffect> effects) {
        if (mState == BookingState.CLAIMING) {
            // The claim may stand although its answer was lost. Refusing would be true but would
            // leave the key claimed; dispatching without knowing could be a second run.
            mState = BookingState.READING_BACK;
            effects.add(new ReadClaim(mClaim.key()));
        }
    }

    private void standing(
            Optional<ClaimRecord> existing, long nowMillis, List<BookingEffect> effects) {
        if (mState != BookingState.CLAIMING && mState != BookingState.READING_BACK) {
            return;
        }
        Optional<ClaimRecord> standing =
                existing.filter(claim -> claim.sameAttempt(mClaim) || !claim.state().releasesKey());
        if (standing.isEmpty()) {
            mState = BookingState.CLAIMING;
            effects.add(new WriteClaim(mClaim));
        } else if (standing.get().sameAttempt(mClaim)) {
            dispatch(nowMillis, effects);
        } else {
            foreign(standing.get(), effects);
        }
    }

    private void foreign(ClaimRecord existing, List<BookingEffect> effects) {
        mForeign = Optional.of(existing);
        if (!existing.fingerprint().equals(mClaim.fingerprint())) {
            finishForeign(RefusalReason.KEY_REUSED, effects);
        } else if (existing.state() == ClaimState.UNKNOWN) {
            finishForeign(RefusalReason.BACKEND_FAILED, effects);
        } else {
            ask(existing, effects);
        }
    }

    private void ask(ClaimRecord existing, List<BookingEffect> effects) {
        mState = BookingState.ASKING;
        Optional<Incarnation> holder = existing.attempt().holder();
        if (holder.isEmpty()) {
            claimerUnreachable(effects);
            return;
        }
        effects.add(new QueryClaimHolder(holder.get(), ask()));
    }

    private void claimerAnswered(
            ClaimResponse answer, long nowMillis, List<BookingEffect> effects) {
        if (mState != BookingState.ASKING) {
            return;
        }
        switch (answer.state()) {
            case RAN -> replay(answer.response(), effects);
            case RUNNING, NOT_RUN ->
                    effects.add(new WakeAt(nowMillis + mSettings.queryIntervalMillis()));
            default -> claimerUnreachable(effects);
        }
    }

    private void replay(Optional<StoredResponse> answer, List<BookingEffect> effects) {
        if (answer.isEmpty()) {
            finishForeign(RefusalReason.ANSWER_EXPIRED, effects);
            return;
        }
        mState = BookingState.FOREIGN;
        reply(new BookingReply.Completed(answer.get(), true), effects);
    }

    private void claimerUnreachable(List<BookingEffect> effects) {
        if (mState != BookingState.ASKING) {
            return;
        }
        boolean ran = mForeign.filter(claim -> claim.state() == ClaimState.RAN).isPresent();
        finishForeign(ran ? RefusalReason.ANSWER_EXPIRED : RefusalReason.CLAIM_BUSY, effects);
    }

    private void wake(List<BookingEffect> effects) {
        if (mState == BookingState.ASKING) {
            // The holder may have freed the key or ended the call since: the claim itself says.
            mState = BookingState.CLAIMING;
            effects.add(new WriteClaim(mClaim));
        }
    }

    private void dispatch(long nowMillis, List<BookingEffect> effects) {
        Invariants.require(
                mState != BookingState.NOT_RUN,
                () -> "dispatch of " + mClaim.attempt() + " after its key was freed");
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

    private void complete(StoredResponse answer, List<BookingEffect> effects) {
        if (mState != BookingState.SENT && mState != BookingState.UNKNOWN) {
            return;
        }
        mState = BookingState.RAN;
        mAnswer = Optional.of(answer);
        effects.add(new RecordOutcome(mClaim, ClaimState.RAN));
        reply(new BookingReply.Completed(answer, false), effects);
    }

    private void failed(List<BookingEffect> effects) {
        if (mState == BookingState.SENT || mState == BookingState.ABORTING) {
            // A byte may have left, so the call may have run. Trying again could run it twice,
            // and calling it not run would make the caller do so.
            mState = BookingState.UNKNOWN;
            effects.add(new RecordOutcome(mClaim, ClaimState.UNKNOWN));
            refuse(RefusalReason.BACKEND_FAILED, effects);
        }
    }

    private void withoutClaim(long nowMillis, List<BookingEffect> effects) {
        if (mState == BookingState.READING_BACK) {
            effects.add(new RecordOutcome(mClaim, ClaimState.NOT_RUN));
        }
        // Where no claim was sent there is none to free. Marking each would fill memory with the
        // refused calls of a long outage.
        if (mState == BookingState.CLAIMING || mState == BookingState.READING_BACK) {
            askPeers(nowMillis, effects);
        }
    }

    private void askPeers(long nowMillis, List<BookingEffect> effects) {
        if (mForeign.isPresent()) {
            mState = BookingState.ASKING;
            claimerUnreachable(effects);
            return;
        }
        // This attempt will not run, but the request may be a resend of one that ran through
        // another host. Saying not run would make the caller book again under a new key.
        mState = BookingState.ASKING_PEERS;
        mAskedPeersMillis = nowMillis;
        effects.add(new QueryPeers(ask()));
    }

    private void peersAnswered(
            BookingEvent.PeersResponded answered, long nowMillis, List<BookingEffect> effects) {
        if (mState != BookingState.ASKING_PEERS) {
            return;
        }
        mState = BookingState.NOT_RUN;
        // If this host was paused, the caller may have sent the call again through another host
        // since the peers answered.
        boolean recent = nowMillis - mAskedPeersMillis <= mSettings.peerResponseMaxAgeMillis();
        boolean unused = recent && answered.provesUnused();
        refuse(unused ? RefusalReason.PLATFORM_AWAY : RefusalReason.CLAIM_UNREADABLE, effects);
    }

    private ClaimRequest ask() {
        return new ClaimRequest(mClaim.key().service(), mClaim.key().key());
    }

    private void timeout(long nowMillis, List<BookingEffect> effects) {
        switch (mState) {
            case CLAIMING, READING_BACK -> {
                effects.add(new RecordOutcome(mClaim, ClaimState.NOT_RUN));
                askPeers(nowMillis, effects);
            }
            case ASKING_PEERS -> {
                mState = BookingState.NOT_RUN;
                refuse(RefusalReason.CLAIM_UNREADABLE, effects);
            }
            case ASKING -> finishForeign(RefusalReason.CLAIM_BUSY, effects);
            case DISPATCHING -> {
                // Not run yet as far as is known, but a byte may be leaving this very moment: only
                // the one who writes can say, so it is asked before anything is said.
                mState = BookingState.ABORTING;
                effects.add(new Abort());
            }
            case ABORTING, SENT -> refuse(RefusalReason.DEADLINE_PASSED, effects);
            default -> {
                // Already answered.
            }
        }
    }

    private void notRun(RefusalReason reason, List<BookingEffect> effects) {
        mState = BookingState.NOT_RUN;
        effects.add(new RecordOutcome(mClaim, ClaimState.NOT_RUN));
        refuse(reason, effects);
    }

    private void finishForeign(RefusalReason reason, List<BookingEffect> effects) {
        mState = BookingState.FOREIGN;
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
