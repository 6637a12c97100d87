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
 * <p>The engine's ledger is open only while its last report matches what is asked. An engine that
 * reports no setup and says that it serves unordered matches whatever is asked: an order would cut
 * off what it runs and load what it needs not, and so take a running deployment down.
 */
final class OrderRun {

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
    private Optional<EngineSetup> mAsked = Optional.empty();
    private boolean mReadAgain;

    OrderRun(OrderServices services, BackendSpec spec) {
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

    void tick(BackendSpec spec, Optional<EngineSetup> asked) {
        mSerial.execute(() -> ticked(spec, asked));
    }

    void onListed(int running, long askedAtMillis) {
        mSerial.execute(() -> mDrain.onListed(running, askedAtMillis));
    }

    /** Gives the engine up because this host does not own it; called for as long as that is so. */
    void stop() {
        mSerial.execute(
                () -> {
                    mAsked = Optional.empty();
                    mReadAgain = false;
                    perform(mController.stop());
                    mSlots.giveUp();
                });
    }

    private void ticked(BackendSpec spec, Optional<EngineSetup> asked) {
        mSpec = spec;
        if (!asked.equals(mAsked)) {
            mAsked = asked;
            mServices.ledgers().close(mEngine);
        }
        mSlots.retry();
        if (mReadAgain) {
            mReadAgain = false;
            readState();
        }
        perform(mController.tick(asked, mDrain.drained(), now()));
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
        } else if (effect instanceof OrderEffect.TakeFence take) {
            take(take);
        } else if (effect instanceof OrderEffect.SendOrder order) {
            send(order);
        }
    }

    private void readState() {
        engine().state().thenAccept(answer -> mSerial.execute(() -> onState(answer)));
    }

    private void onState(Either<EngineFailure, EngineState> answer) {
        if (answer.isLeft()) {
            perform(mController.onFailed(now()));
            return;
        }
        EngineState state = answer.get();
        Optional<EngineSetup> setup = setup(state);
        boolean matches = setup.equals(mAsked);
        if (state.busy()) {
            // An engine still loading refuses all work, so its slots and its drain go on.
            mReadAgain = true;
            mServices.ledgers().close(mEngine);
            return;
        }
        if (matches) {
            mAsked.ifPresent(asked -> mServices.ledgers().open(mEngine, asked.role()));
        } else {
            mServices.ledgers().close(mEngine);
        }
        perform(mController.onState(new EngineReport(setup, state.fence()), now()));
    }

    private Optional<EngineSetup> setup(EngineState state) {
        if (state.service().isEmpty() || state.model().isEmpty() || state.role().isEmpty()) {
            return state.servesUnordered() ? mAsked : Optional.empty();
        }
        return Optional.of(
                new EngineSetup(state.service().get(), state.model().get(), state.role().get()));
    }

    private void acquire(OrderEffect.AcquireSlots acquire) {
        List<SlotHolding.Slot> slots = new ArrayList<>();
        acquire.leaves()
                .map(left -> new SlotHolding.Slot(ROLLOUT.path(left), ROLLOUT.limit(serving(left))))
                .ifPresent(slots::add);
        if (acquire.loadsWeights()) {
            slots.add(new SlotHolding.Slot(WeightLoadBudget.PATH, WEIGHT_LOADS.limit()));
        }
        mSlots.acquire(slots).thenAccept(had -> mSerial.execute(() -> onSlots(had)));
    }

    private void onSlots(boolean had) {
        if (!had) {
            mSlots.release();
        }
        perform(mController.onSlots(had, now()));
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
                .thenAccept(answer -> mSerial.execute(() -> onStatus(answer)));
    }

    private void onStatus(Either<PlatformError, FenceStore.Found> answer) {
        List<OrderEffect> effects =
                answer.fold(
                        away -> mController.onFailed(now()),
                        found -> mController.onStatus(found.version(), found.status(), now()));
        perform(effects);
    }

    private void take(OrderEffect.TakeFence take) {
        mServices
                .fences()
                .take(mEngine, take.expectedVersion(), take.status())
                .thenAccept(taken -> mSerial.execute(() -> onTaken(taken)));
    }

    private void onTaken(boolean taken) {
        perform(taken ? mController.onFenceTaken(now()) : mController.onFenceUnsure());
    }

    private void send(OrderEffect.SendOrder order) {
        EngineSetup setup = order.setup();
        // A worker paused since the fence was taken could send after a successor has waited this
        // host's lease out; the engine would then follow the older order.
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
                .thenAccept(answer -> mSerial.execute(() -> onOrdered(order.fence(), answer)));
    }

    private void onOrdered(long fence, Either<EngineFailure, EngineState> answer) {
        answer.peekLeft(
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
