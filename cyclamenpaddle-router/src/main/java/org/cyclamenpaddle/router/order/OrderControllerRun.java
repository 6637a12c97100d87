package org.cyclamenpaddle.router.order;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cyclamenpaddle.core.config.BackendSpec;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.id.ServiceName;
import org.cyclamenpaddle.engine.model.EngineClient;
import org.cyclamenpaddle.engine.model.EngineFailure;
import org.cyclamenpaddle.engine.model.EngineOrder;
import org.cyclamenpaddle.engine.model.EngineState;
import org.cyclamenpaddle.fleet.order.EngineReport;
import org.cyclamenpaddle.fleet.order.EngineSetup;
import org.cyclamenpaddle.fleet.order.OrderController;
import org.cyclamenpaddle.fleet.order.OrderEffect;
import org.cyclamenpaddle.fleet.order.OrderSettings;
import org.cyclamenpaddle.fleet.order.RolloutBudget;
import org.cyclamenpaddle.fleet.order.WeightLoadBudget;
import org.cyclamenpaddle.router.event.LogEvent;
import org.cyclamenpaddle.router.worker.SerialExecutor;
import org.cyclamenpaddle.store.http.PlatformError;

/**
 * Runs the {@link OrderController} of one owned engine, one event at a time.
 *
 * <p>The engine's ledger is open only while its last report matches the requested setup. An engine
 * that reports no setup and serves without orders matches every requested setup: an order would
 * abort its running work and load a model that it does not need, and so interrupt a running
 * deployment.
 */
final class OrderControllerRun {

    private static final OrderSettings SETTINGS = new OrderSettings(5_000, 30_000, 250);
    private static final RolloutBudget ROLLOUT = new RolloutBudget(25);
    private static final WeightLoadBudget WEIGHT_LOADS =
            new WeightLoadBudget(8_000_000_000L, 1_000_000_000L);

    private final OrderServices mServices;
    private final BackendId mEngine;
    private final SerialExecutor mSerial;
    private final OrderController mController;
    private final EngineDrain mDrain;
    private final SlotHolding mSlots;
    private BackendSpec mSpec;
    private Optional<EngineSetup> mRequestedSetup = Optional.empty();
    private boolean mRereadState;

    OrderControllerRun(OrderServices services, BackendSpec spec) {
        mServices = services;
        mEngine = spec.id();
        mSpec = spec;
        mSerial = new SerialExecutor(services.workers());
        mController = new OrderController(services.self(), spec.fencing(), SETTINGS);
        mDrain =
                new EngineDrain(
                        mEngine, () -> services.ledgers().grantCount(mEngine), services.log());
        mSlots = new SlotHolding(services.slots(), mEngine);
    }

    void tick(BackendSpec spec, Optional<EngineSetup> requested) {
        mSerial.execute(() -> onTick(spec, requested));
    }

    void onListed(int running, long requestedAtMillis) {
        mSerial.execute(() -> mDrain.onListed(running, requestedAtMillis));
    }

    /**
     * Stops managing the engine because this host does not own it; called repeatedly while that is
     * the case.
     */
    void stop() {
        mSerial.execute(
                () -> {
                    mRequestedSetup = Optional.empty();
                    mRereadState = false;
                    perform(mController.stop());
                    mSlots.abandon();
                });
    }

    private void onTick(BackendSpec spec, Optional<EngineSetup> requested) {
        mSpec = spec;
        if (!requested.equals(mRequestedSetup)) {
            mRequestedSetup = requested;
            mServices.ledgers().close(mEngine);
        }
        mSlots.retry();
        if (mRereadState) {
            mRereadState = false;
            readState();
        }
        perform(mController.tick(requested, mDrain.drained(), now()));
    }

    private void perform(List<OrderEffect> effects) {
        effects.forEach(this::perform);
    }

    private void perform(OrderEffect effect) {
        if (effect instanceof OrderEffect.ReadState) {
            readState();
        } else if (effect instanceof OrderEffect.AcquireSlots acquire) {
            acquire(acquire);
        } else if (effect instanceof OrderEffect.ReleaseSlots) {
            mSlots.release();
        } else if (effect instanceof OrderEffect.StartDrain) {
            mServices.ledgers().close(mEngine);
            mDrain.start(now());
        } else if (effect instanceof OrderEffect.EndDrain) {
            mDrain.end();
        } else if (effect instanceof OrderEffect.ReadStatus) {
            readStatus();
        } else if (effect instanceof OrderEffect.AcquireFence take) {
            acquireFence(take);
        } else if (effect instanceof OrderEffect.SendOrder order) {
            send(order);
        }
    }

    private void readState() {
        engine().state().thenAccept(response -> mSerial.execute(() -> onState(response)));
    }

    private void onState(Either<EngineFailure, EngineState> response) {
        if (response.isLeft()) {
            perform(mController.onFailed(now()));
            return;
        }
        EngineState state = response.get();
        Optional<EngineSetup> setup = setup(state);
        boolean matches = setup.equals(mRequestedSetup);
        if (state.busy()) {
            // An engine that is still loading rejects all work, so its slots stay held and its
            // drain continues.
            mRereadState = true;
            mServices.ledgers().close(mEngine);
            return;
        }
        if (matches) {
            mRequestedSetup.ifPresent(
                    requested -> mServices.ledgers().open(mEngine, requested.role()));
        } else {
            mServices.ledgers().close(mEngine);
        }
        perform(mController.onState(new EngineReport(setup, state.fence()), now()));
    }

    private Optional<EngineSetup> setup(EngineState state) {
        if (state.service().isEmpty() || state.model().isEmpty() || state.role().isEmpty()) {
            return state.servesUnordered() ? mRequestedSetup : Optional.empty();
        }
        return Optional.of(
                new EngineSetup(state.service().get(), state.model().get(), state.role().get()));
    }

    private void acquire(OrderEffect.AcquireSlots acquire) {
        List<SlotHolding.Slot> slots = new ArrayList<>();
        acquire.leaves()
                .map(
                        service ->
                                new SlotHolding.Slot(
                                        ROLLOUT.path(service), ROLLOUT.limit(serving(service))))
                .ifPresent(slots::add);
        if (acquire.loadsWeights()) {
            slots.add(new SlotHolding.Slot(WeightLoadBudget.PATH, WEIGHT_LOADS.limit()));
        }
        mSlots.acquire(slots).thenAccept(acquired -> mSerial.execute(() -> onSlots(acquired)));
    }

    private void onSlots(boolean acquired) {
        if (!acquired) {
            mSlots.release();
        }
        perform(mController.onSlots(acquired, now()));
    }

    private int serving(ServiceName service) {
        return (int)
                mServices.blackboard().view().assignments().values().stream()
                        .filter(assignment -> assignment.service().equals(service))
                        .count();
    }

    private void readStatus() {
        mServices
                .fences()
                .read(mEngine)
                .thenAccept(response -> mSerial.execute(() -> onStatus(response)));
    }

    private void onStatus(Either<PlatformError, FenceStore.Found> response) {
        List<OrderEffect> effects =
                response.fold(
                        error -> mController.onFailed(now()),
                        found -> mController.onStatus(found.version(), found.status(), now()));
        perform(effects);
    }

    private void acquireFence(OrderEffect.AcquireFence take) {
        mServices
                .fences()
                .acquire(mEngine, take.expectedVersion(), take.status())
                .thenAccept(taken -> mSerial.execute(() -> onFenceResponse(taken)));
    }

    private void onFenceResponse(boolean taken) {
        perform(taken ? mController.onFenceAcquired(now()) : mController.onFenceUpdateUncertain());
    }

    private void send(OrderEffect.SendOrder order) {
        EngineSetup setup = order.setup();
        // A worker paused since it took the fencing token could send after a successor has waited
        // for this host's lease to expire; the engine would then follow the older order.
        if (!mController.maySend(order.fence(), now())) {
            perform(mController.onOrderEnded(now()));
            return;
        }
        mServices.log().log(
                LogEvent.ORDER_SENT,
                mEngine,
                setup.service(),
                setup.model(),
                setup.role(),
                order.fence());
        engine().order(
                        new EngineOrder(
                                order.fence(),
                                setup.service(),
                                setup.model(),
                                setup.role(),
                                order.timeoutMillis()))
                .thenAccept(response -> mSerial.execute(() -> onOrdered(order.fence(), response)));
    }

    private void onOrdered(long fence, Either<EngineFailure, EngineState> response) {
        response.peekLeft(
                failure -> mServices.log().log(LogEvent.ORDER_REFUSED, mEngine, failure, fence));
        perform(mController.onOrderEnded(now()));
    }

    private EngineClient engine() {
        return mServices.clients().engine(mSpec);
    }

    private long now() {
        return mServices.clock().millis();
    }
}
