package org.cyclamenpaddle.relay.front;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.relay.backend.Backend;
import org.cyclamenpaddle.relay.backend.BackendQuery;
import org.cyclamenpaddle.relay.backend.WorkSize;
import org.cyclamenpaddle.relay.log.RelayEvent;
import org.cyclamenpaddle.routing.reservation.ReservationWait;
import org.cyclamenpaddle.routing.reservation.ReservePacing;
import org.cyclamenpaddle.routing.reservation.RetryStage;

/**
 * Finds a decode engine for one request and reserves memory on it before any prefill is started.
 *
 * <p>Each host sees only its own share of an engine's load. Without a reservation, a request whose
 * prompt had been prefilled was often rejected by an engine that appeared to have capacity, and the
 * prefill was wasted. A reservation is therefore requested from the engine itself. When all engines
 * are full, the search is retried as {@link ReservationWait} determines, and then fails.
 *
 * <p>An engine that does not respond in time is often only paused. Its call stays pending while
 * others are asked beside it; the first grant is used and the other calls are cancelled. A search
 * whose engines are all silent waits for them, and makes no call at an engine at which one of this
 * host is pending.
 */
final class ReservationSearch implements BackendSearch {

    /** Notified of the placement; empty if none was found in time. */
    interface Listener {
        void found(Optional<Placement> placement);
    }

    /**
     * Backend server chosen for a request.
     *
     * @param backend backend server
     * @param reservation name of the reservation there; empty if none is needed
     */
    record Placement(Backend backend, Optional<String> reservation) {}

    /** Maximum number of engines that are asked at a time while they are silent. */
    private static final int MAX_PENDING = 3;

    /**
     * Share of the silence that callers accept for which a search waits for silent engines. The
     * rest is at least one target latency, since callers leave after four at the earliest, and
     * suffices for prefill and the first event.
     */
    private static final double SILENCE_WAIT_SHARE = 0.75;

    /** Interval in which a search looks whether silent engines respond again, in milliseconds. */
    private static final long SILENCE_PAUSE_MILLIS = 50;

    private final RelayContext mRelay;
    private final RelayRequest mRequest;
    private final EventLoop mLoop;
    private final long mStartMillis;
    private final Set<BackendId> mAvoid;
    private final BackendQuery mQuery;
    private final Listener mListener;
    private final ReservationWait mReservationWait;
    private final ReservePacing mReservePacing = new ReservePacing();
    private final GrowthCapacity mGrowthCapacity;
    private final Map<BackendId, ReservationAttempt> mPending = new LinkedHashMap<>();
    private Optional<ScheduledFuture<?>> mNextFind = Optional.empty();
    private boolean mOnlyPending;
    private int mRejects;
    private int mUnreached;
    private boolean mPermitRequested;
    private boolean mWaiting;
    private boolean mClosed;

    ReservationSearch(
            RelayContext relay,
            RelayRequest request,
            EventLoop loop,
            BackendQuery query,
            boolean sentBefore,
            Listener listener) {
        mRelay = relay;
        mRequest = request;
        mLoop = loop;
        mAvoid = new HashSet<>(query.avoid());
        mQuery = query.avoiding(mAvoid);
        mListener = listener;
        mGrowthCapacity = new GrowthCapacity(relay, request, loop);
        long now = relay.clock().millis();
        mStartMillis = now;
        // A caller that has events of a stream waits for it as for one that was sent before.
        RetryStage stage = stage(relay, request, sentBefore || query.binding().binds(), now);
        mReservationWait =
                ReservationWait.begin(now, request.route().terms(), stage, request.urgency());
    }

    private static RetryStage stage(
            RelayContext relay, RelayRequest request, boolean sentBefore, long nowMillis) {
        OptionalLong timeout = request.caller().callerTimeoutMillis();
        if (sentBefore) {
            return RetryStage.RETRY;
        }
        ReservationWait first =
                ReservationWait.begin(nowMillis, request.route().terms(), RetryStage.FIRST);
        long delayMillis = first.waitMillis() + request.minRetryDelayMillis(relay.demand());
        boolean returns =
                timeout.isPresent()
                        && relay.returningClients()
                                .read(
                                        callers ->
                                                callers.isReturning(
                                                        request.route().name(),
                                                        timeout.getAsLong(),
                                                        delayMillis,
                                                        nowMillis));
        return returns ? RetryStage.RETURNING : RetryStage.FIRST;
    }

    /**
     * Tries the best engine that has not just reported that it is full and is not silent, or
     * schedules the next try.
     */
    @Override
    public void find() {
        long now = mRelay.clock().millis();
        boolean noneLeft = mQuery.binding().binds() && !mRelay.registry().mayServe(mQuery, now);
        Set<BackendId> awaited = mRelay.registry().awaitedServers(mQuery);
        boolean noResponse = mUnreached > 0 || !mPending.isEmpty() || !awaited.isEmpty();
        if (noneLeft || noResponse && mRelay.reachability().isCutOff(mRequest.service())) {
            refuse();
            return;
        }
        Optional<Backend> selected = select(awaited, now);
        if (selected.isPresent()) {
            mRelay.permits().requestInAdvance(mRequest.service(), size());
            reserve(selected.get());
            return;
        }
        OptionalLong directiveWait = mRelay.registry().directives().waitMillis(mQuery, now);
        if (mayObtainPermit(directiveWait)) {
            mRelay.permits().request(mQuery, mLoop, granted -> findAgain());
        } else if (mReservationWait.mayRetry(now + directiveWait.orElse(0))) {
            waitForVersion();
            findAfter(mReservePacing.pauseMillis(mReservationWait, now));
        } else if (mayAwaitSilent(awaited, now)) {
            mOnlyPending = mRejects > 0;
            waitForVersion();
            findAfter(SILENCE_PAUSE_MILLIS);
        } else {
            mUnreached += mRejects > 0 ? 0 : awaited.size();
            refuse();
        }
    }

    private Optional<Backend> select(Set<BackendId> awaited, long nowMillis) {
        if (mOnlyPending || mPending.size() >= MAX_PENDING || mReservePacing.pauseIsDue()) {
            return Optional.empty();
        }
        Set<BackendId> avoid = new HashSet<>(mAvoid);
        avoid.addAll(awaited);
        avoid.addAll(mPending.keySet());
        return mRelay.registry().select(mQuery.avoiding(avoid), nowMillis);
    }

    /**
     * Returns whether the search goes on for the sake of silent engines. If an engine is full, it
     * only waits for its own calls: the pause of one engine does not prolong the search of every
     * request that the others have no room for.
     */
    private boolean mayAwaitSilent(Set<BackendId> awaited, long nowMillis) {
        long silenceMillis = mRequest.route().silenceMillis();
        boolean inTime = nowMillis - mStartMillis < silenceMillis * SILENCE_WAIT_SHARE;
        return inTime && (!mPending.isEmpty() || mRejects == 0 && !awaited.isEmpty());
    }

    private void refuse() {
        mPending.values()
                .forEach(
                        attempt ->
                                logFailure(
                                        attempt.engine(),
                                        "no response in "
                                                + (mRelay.clock().millis() - mStartMillis)
                                                + " ms of the search"));
        close();
        mListener.found(Optional.empty());
    }

    /** Returns whether only limits of engines prevent a reservation, and permits are requested. */
    private boolean mayObtainPermit(OptionalLong directiveWait) {
        boolean mayObtain =
                !mPermitRequested && directiveWait.isPresent() && directiveWait.getAsLong() <= 0;
        mPermitRequested |= mayObtain;
        return mayObtain;
    }

    @Override
    public void cancel() {
        close();
    }

    @Override
    public Optional<SearchInputs> inputs() {
        return Optional.of(
                new SearchInputs(
                        mReservationWait.waitMillis(),
                        mRejects,
                        mGrowthCapacity.urgentTokens(),
                        mUnreached));
    }

    private void close() {
        mClosed = true;
        mNextFind.ifPresent(next -> next.cancel(false));
        mPending.values().forEach(ReservationAttempt::cancel);
        mPending.clear();
        if (mWaiting) {
            mWaiting = false;
            mRelay.registry().recordWaitEnded(mQuery);
        }
    }

    private void waitForVersion() {
        if (!mWaiting && mQuery.binding().binds()) {
            mWaiting = true;
            mRelay.registry().recordWaiting(mQuery);
        }
    }

    private void findAfter(long pauseMillis) {
        mNextFind.ifPresent(next -> next.cancel(false));
        mNextFind =
                Optional.of(mLoop.schedule(this::findAgain, pauseMillis, TimeUnit.MILLISECONDS));
    }

    private void findAgain() {
        if (!mClosed) {
            find();
        }
    }

    private void reserve(Backend engine) {
        ReservationAttempt attempt =
                new ReservationAttempt(
                        mRelay,
                        mRequest,
                        mLoop,
                        engine,
                        mGrowthCapacity,
                        mReservationWait,
                        new AttemptListener());
        mPending.put(engine.id(), attempt);
        attempt.start();
    }

    private final class AttemptListener implements ReservationAttempt.Listener {

        @Override
        public void granted(ReservationAttempt attempt, Optional<String> reservation) {
            mPending.remove(attempt.engine().id());
            close();
            mListener.found(Optional.of(new Placement(attempt.engine(), reservation)));
        }

        @Override
        public void rejected(ReservationAttempt attempt, ReserveCall.Result result) {
            Backend engine = attempt.engine();
            mPending.remove(engine.id());
            if (result.full()) {
                mRelay.registry().recordFull(engine, mRelay.clock().millis());
                mReservePacing.rejected();
                mRejects++;
            } else {
                mUnreached++;
                mAvoid.add(engine.id());
                logFailure(engine, result.cause());
            }
            find();
        }

        @Override
        public void silent(ReservationAttempt attempt) {
            find();
        }
    }

    private void logFailure(Backend engine, String cause) {
        mRelay.log().log(RelayEvent.RESERVATION_FAILED, mRequest.caller().id(), engine.id(), cause);
    }

    private WorkSize size() {
        return mRequest.caller().size();
    }
}
