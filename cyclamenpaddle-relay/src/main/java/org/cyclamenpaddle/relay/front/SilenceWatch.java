package org.cyclamenpaddle.relay.front;

import io.netty.channel.EventLoop;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.http.PolledTimer;
import org.cyclamenpaddle.relay.backend.BackendQuery;
import org.cyclamenpaddle.relay.backend.SendOutcome;
import org.cyclamenpaddle.relay.log.RelayEvent;
import org.cyclamenpaddle.relay.retry.RetryPolicy;
import org.cyclamenpaddle.routing.buffer.RequestBytes;
import org.cyclamenpaddle.routing.silence.OtherServers;
import org.cyclamenpaddle.routing.silence.Resumption;
import org.cyclamenpaddle.routing.silence.SecondSend;
import org.cyclamenpaddle.routing.silence.SilenceLimits;

/**
 * Watches whether the server of a request sends anything, and looks for a second one that may run
 * the request beside it. Never ends a send.
 *
 * <p>Runs on the event loop of the caller's connection.
 */
final class SilenceWatch {

    /** Provides what a second send needs, and begins it. */
    interface Listener {

        /** Returns the query for another server. */
        BackendQuery query(Set<BackendId> avoid);

        /** Returns the servers that cannot take the request. */
        Set<BackendId> tried();

        /** Returns whether only another host can run the request now. */
        boolean handsOver();

        /** Hands the request over beside the send in progress; false if no host is left for it. */
        boolean handOver();

        /** Called when a second server can run the request. */
        void placed(PlacementPhase.Placed placed);
    }

    private final RelayContext mRelay;
    private final RelayRequest mRequest;
    private final EventLoop mLoop;
    private final RequestBytes mBytes;
    private final RetryPolicy mRetryPolicy;
    private final CrashGuard mCrashGuard;
    private final ReachedServers mReached;
    private final RequestLog mLog;
    private final Listener mListener;
    private SilenceLimits mLimits;
    private Optional<BackendAttempt> mAttempt = Optional.empty();
    private Optional<PolledTimer> mTimer = Optional.empty();
    private Optional<PlacementPhase> mPlacement = Optional.empty();
    private Optional<SecondSend> mDecision = Optional.empty();
    private Optional<BackendAttempt> mSpell = Optional.empty();
    private Optional<SecondSend> mLogged = Optional.empty();
    private boolean mSuspected;
    private Optional<OtherServers> mOthers = Optional.empty();
    private Resumption mResumption = new Resumption();

    SilenceWatch(
            RelayContext relay,
            RelayRequest request,
            EventLoop loop,
            RequestBytes bytes,
            RetryPolicy retryPolicy,
            CrashGuard crashGuard,
            ReachedServers reached,
            RequestLog log,
            Listener listener) {
        mRelay = relay;
        mRequest = request;
        mLoop = loop;
        mBytes = bytes;
        mRetryPolicy = retryPolicy;
        mCrashGuard = crashGuard;
        mReached = reached;
        mLog = log;
        mListener = listener;
    }

    /** Watches an attempt instead of any other. */
    void watch(BackendAttempt attempt) {
        stop();
        mAttempt = Optional.of(attempt);
        mLimits =
                SilenceLimits.of(
                        mRequest.route().targetMillis(),
                        mRequest.route().silenceMillis(),
                        mRetryPolicy.remainingMillis(attempt.startMillis()));
        if (mSpell.filter(attempt::equals).isEmpty()) {
            endSpell();
        }
        long limitMillis = mLimits.millis(attempt.begun());
        // An attempt that is silent already has just lost its second one.
        schedule(
                Math.max(
                        limitMillis - attempt.quietMillis(),
                        SilenceLimits.recheckMillis(limitMillis)));
    }

    /** Ends the watch, and the search for a second server. */
    void stop() {
        mTimer.ifPresent(PolledTimer::cancel);
        mTimer = Optional.empty();
        mAttempt = Optional.empty();
        endSearch();
        forget();
    }

    /**
     * Returns whether the server of the request was first found to respond to others so shortly
     * before that it may not have got to this one yet.
     */
    private boolean resumed(BackendAttempt attempt, long limitMillis, long nowMillis) {
        boolean responds =
                mRelay.registry()
                        .voice(attempt.target())
                        .heardSince(nowMillis - SilenceLimits.otherMillis(limitMillis));
        return mResumption.waits(responds, limitMillis, nowMillis);
    }

    /** Ends what is recorded once while a server is silent, however often its send is watched. */
    private void endSpell() {
        mSpell = Optional.empty();
        mLogged = Optional.empty();
        mSuspected = false;
    }

    private void forget() {
        mDecision = Optional.empty();
        mOthers = Optional.empty();
        mResumption = new Resumption();
    }

    private void schedule(long millis) {
        mTimer = Optional.of(PolledTimer.start(mLoop, this::check, Math.max(1, millis)));
    }

    private void check() {
        mAttempt.ifPresent(this::checkAttempt);
    }

    private void checkAttempt(BackendAttempt attempt) {
        if (attempt.begun() && !mRequest.route().kind().streams()) {
            endSearch();
            return;
        }
        long limitMillis = mLimits.millis(attempt.begun());
        long quietMillis = attempt.quietMillis();
        if (quietMillis < limitMillis) {
            endSearch();
            forget();
            endSpell();
            schedule(limitMillis - quietMillis);
            return;
        }
        silent(attempt, limitMillis, quietMillis);
        if (mDecision.map(SecondSend::mayChange).orElse(false)) {
            schedule(SilenceLimits.recheckMillis(limitMillis));
        }
    }

    private void silent(BackendAttempt attempt, long limitMillis, long quietMillis) {
        long now = mRelay.clock().millis();
        long otherMillis = SilenceLimits.otherMillis(limitMillis);
        mSpell = Optional.of(attempt);
        suspect(attempt, quietMillis, now);
        if (mPlacement.isPresent()) {
            return;
        }
        boolean handsOver = mListener.handsOver();
        Set<BackendId> avoid = new HashSet<>(mListener.tried());
        OtherServers others =
                handsOver
                        ? OtherServers.AVAILABLE
                        : mRelay.registry().otherServers(mListener.query(avoid), otherMillis, now);
        SecondSend decision =
                SecondSend.decide(
                        request(now),
                        new SecondSend.Servers(
                                !handsOver && resumed(attempt, limitMillis, now),
                                quietMillis >= SilenceLimits.overdueMillis(limitMillis),
                                asksFirst(),
                                others,
                                handsOver ? Optional.of(others) : mOthers));
        mOthers = Optional.of(others);
        if (decision == SecondSend.OTHERS_SILENT) {
            mRelay.silenceChecks().ask(mListener.query(avoid), asksFirst());
        }
        if (decision == SecondSend.ALLOWED && !mCrashGuard.mayRun()) {
            decision = SecondSend.QUARANTINED;
        }
        if (decision == SecondSend.ALLOWED && !mRelay.budget().tryTake(mRequest.service())) {
            decision = SecondSend.NO_BUDGET;
        }
        if (decision == SecondSend.ALLOWED && handsOver) {
            handOver(attempt, quietMillis);
            return;
        }
        decided(attempt, quietMillis, decision);
        if (decision == SecondSend.ALLOWED) {
            avoid.addAll(
                    others == OtherServers.AVAILABLE && !asksFirst()
                            ? mRelay.registry().unheardServers(mRequest.service(), otherMillis, now)
                            : mRelay.registry()
                                    .silentServers(mRequest.service(), otherMillis, now));
            search(attempt, mListener.query(avoid), now);
        }
    }

    /**
     * Records the silence of a server once. A request with little time left has a shorter limit,
     * which is no evidence: work takes longer than that at sound servers.
     */
    private void suspect(BackendAttempt attempt, long quietMillis, long nowMillis) {
        long limitMillis = mLimits.suspectMillis(attempt.begun());
        if (mSuspected || quietMillis < limitMillis) {
            return;
        }
        mSuspected = true;
        if (mRelay.registry().recordSilence(attempt.target(), limitMillis, nowMillis)) {
            mRelay.log().log(
                    RelayEvent.BACKEND_EJECTED,
                    attempt.target().id(),
                    SendOutcome.SILENT,
                    "silent for " + quietMillis + " ms");
        }
    }

    private void handOver(BackendAttempt attempt, long quietMillis) {
        if (mListener.handOver()) {
            log(attempt, quietMillis, SecondSend.ALLOWED);
        } else {
            mRelay.budget().putBack(mRequest.service());
            decided(attempt, quietMillis, SecondSend.NO_OTHER_SERVER);
        }
    }

    /** Returns whether a server is asked for memory before the request is sent to it. */
    private boolean asksFirst() {
        return mRequest.engine().isPresent();
    }

    private SecondSend.Request request(long nowMillis) {
        return new SecondSend.Request(
                mRequest.route().repeatable(),
                mRetryPolicy.hasAttemptsLeft(),
                mRetryPolicy.isForwarding() && !mRequest.route().kind().streams(),
                mRetryPolicy.remainingMillis(nowMillis),
                mRequest.route().targetMillis());
    }

    private void decided(BackendAttempt attempt, long quietMillis, SecondSend decision) {
        mDecision = Optional.of(decision);
        // A search may show that no server has room.
        if (decision != SecondSend.ALLOWED) {
            log(attempt, quietMillis, decision);
        }
    }

    private void log(BackendAttempt attempt, long quietMillis, SecondSend decision) {
        if (mLogged.filter(decision::equals).isEmpty()) {
            mLogged = Optional.of(decision);
            mLog.serverSilent(
                    attempt, quietMillis, decision, mTimer.map(PolledTimer::lateMillis).orElse(0L));
        }
    }

    private void search(BackendAttempt attempt, BackendQuery query, long nowMillis) {
        PlacementPhase placement =
                new PlacementPhase(
                        mRelay,
                        mRequest,
                        mBytes::trySendBeside,
                        mLoop,
                        query,
                        true,
                        () -> mRelay.budget().tryTake(mRequest.service()),
                        mCrashGuard,
                        mReached,
                        mLog::searched,
                        new PlacementPhase.Listener() {
                            @Override
                            public void placed(PlacementPhase.Placed placed) {
                                mPlacement = Optional.empty();
                                found(attempt, placed);
                            }

                            @Override
                            public void notPlaced(String reason) {
                                mPlacement = Optional.empty();
                                mRelay.budget().putBack(mRequest.service());
                                decided(attempt, attempt.quietMillis(), SecondSend.NO_ROOM);
                            }
                        });
        mPlacement = Optional.of(placement);
        placement.start(nowMillis + mRetryPolicy.remainingMillis(nowMillis));
    }

    /**
     * Begins the second send, unless the first server has gone on during the search: a stream that
     * has begun meanwhile may be bound to another version than that of the server found.
     */
    private void found(BackendAttempt attempt, PlacementPhase.Placed placed) {
        if (attempt.quietMillis() < mLimits.millis(attempt.begun())) {
            placed.release(mRelay, mRequest);
            mRelay.budget().putBack(mRequest.service());
        } else {
            log(attempt, attempt.quietMillis(), SecondSend.ALLOWED);
            mListener.placed(placed);
        }
    }

    private void endSearch() {
        mPlacement.ifPresent(
                placement -> {
                    placement.cancel();
                    mRelay.budget().putBack(mRequest.service());
                });
        mPlacement = Optional.empty();
    }
}
