package org.cyclamenpaddle.relay.front;

import io.netty.channel.EventLoop;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.relay.backend.Backend;
import org.cyclamenpaddle.relay.backend.BackendQuery;
import org.cyclamenpaddle.relay.backend.SendOutcome;
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

    private final RelayContext mRelay;
    private final RelayRequest mRequest;
    private final EventLoop mLoop;
    private final Set<BackendId> mAvoid;
    private final BackendQuery mQuery;
    private final Listener mListener;
    private final ReservationWait mReservationWait;
    private final ReservePacing mReservePacing = new ReservePacing();
    private final GrowthCapacity mGrowthCapacity;
    private Optional<Backend> mPending = Optional.empty();
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
     * Tries the best engine that has not just reported that it is full, or schedules the next try.
     */
    @Override
    public void find() {
        long now = mRelay.clock().millis();
        boolean noneLeft = mQuery.binding().binds() && !mRelay.registry().mayServe(mQuery, now);
        if (noneLeft || mUnreached > 0 && mRelay.reachability().isCutOff(mRequest.service())) {
            close();
            mListener.found(Optional.empty());
            return;
        }
        Optional<Backend> selected =
                mReservePacing.pauseIsDue()
                        ? Optional.empty()
                        : mRelay.registry().select(mQuery, now);
        if (selected.isPresent()) {
            mRelay.permits().requestInAdvance(mRequest.service(), size());
            reserve(selected.get());
            return;
        }
        OptionalLong directiveWait = mRelay.registry().directives().waitMillis(mQuery, now);
        if (mayObtainPermit(directiveWait)) {
            mRelay.permits().request(mQuery, mLoop, granted -> findAgain());
        } else if (!mReservationWait.mayRetry(now + directiveWait.orElse(0))) {
            close();
            mListener.found(Optional.empty());
        } else {
            waitForVersion();
            long pause = mReservePacing.pauseMillis(mReservationWait, now);
            mLoop.schedule(this::findAgain, pause, TimeUnit.MILLISECONDS);
        }
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
        mPending.ifPresent(engine -> release(engine, SendOutcome.ABANDONED));
        mPending = Optional.empty();
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

    private void findAgain() {
        if (!mClosed) {
            find();
        }
    }

    private void reserve(Backend engine) {
        mPending = Optional.of(engine);
        ReserveCall.reserve(mRelay, mRequest, mLoop, engine, result -> reserved(engine, result));
    }

    private void reserved(Backend engine, ReserveCall.Result result) {
        if (mClosed) {
            result.reservation().ifPresent(name -> ReserveCall.cancel(mRelay, engine, name));
        } else if (result.granted()) {
            mGrowthCapacity.requiredTokens(
                    engine, mReservationWait, tokens -> probe(engine, result, tokens));
        } else {
            rejected(engine, result);
        }
    }

    /** Checks for free memory to grow, beyond a reservation that was granted. */
    private void probe(Backend engine, ReserveCall.Result granted, OptionalLong tokens) {
        if (mClosed || tokens.isEmpty()) {
            probed(engine, granted, ReserveCall.NO_CAPACITY);
        } else if (tokens.getAsLong() == 0) {
            probed(engine, granted, granted);
        } else {
            ReserveCall.probe(
                    mRelay,
                    mRequest,
                    mLoop,
                    engine,
                    tokens.getAsLong(),
                    growth -> probed(engine, granted, growth));
        }
    }

    private void probed(Backend engine, ReserveCall.Result granted, ReserveCall.Result growth) {
        if (mClosed || !growth.granted()) {
            granted.reservation().ifPresent(name -> ReserveCall.cancel(mRelay, engine, name));
        }
        if (mClosed) {
            return;
        }
        if (!growth.granted()) {
            rejected(engine, growth);
            return;
        }
        close();
        mPending = Optional.empty();
        mListener.found(Optional.of(new Placement(engine, granted.reservation())));
    }

    private void rejected(Backend engine, ReserveCall.Result result) {
        mPending = Optional.empty();
        release(engine, result.outcome());
        if (result.full()) {
            mRelay.registry().recordFull(engine, mRelay.clock().millis());
            mReservePacing.rejected();
            mRejects++;
        } else {
            mUnreached++;
            mAvoid.add(engine.id());
            mRelay.log().log(
                    RelayEvent.RESERVATION_FAILED,
                    mRequest.caller().id(),
                    engine.id(),
                    result.cause());
        }
        find();
    }

    private void release(Backend engine, SendOutcome outcome) {
        mRelay.registry().recordOutcome(engine, size(), false, outcome, mRelay.clock().millis());
    }

    private WorkSize size() {
        return mRequest.caller().size();
    }
}
