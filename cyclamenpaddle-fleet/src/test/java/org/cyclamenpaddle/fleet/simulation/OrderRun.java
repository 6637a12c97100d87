package org.cyclamenpaddle.fleet.simulation;

import static org.cyclamenpaddle.core.invariant.Invariants.require;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.cyclamenpaddle.core.config.BackendRole;
import org.cyclamenpaddle.core.config.FencingSupport;
import org.cyclamenpaddle.core.id.HostId;
import org.cyclamenpaddle.core.id.Incarnation;
import org.cyclamenpaddle.core.id.ServiceName;
import org.cyclamenpaddle.fleet.order.EngineReport;
import org.cyclamenpaddle.fleet.order.EngineSetup;
import org.cyclamenpaddle.fleet.order.FenceStatus;
import org.cyclamenpaddle.fleet.order.OrderController;
import org.cyclamenpaddle.fleet.order.OrderEffect;
import org.cyclamenpaddle.fleet.order.OrderSettings;
import org.cyclamenpaddle.fleet.simulation.SimulatedPlatform.Result;

/**
 * Simulation of two hosts that may both consider themselves the owner of one engine, are paused
 * between a decision and its effect, and learn of preset changes at different times.
 *
 * <p>Invariants: no two hosts send orders with the same fencing token; the engine never executes an
 * order with a lower token than an earlier one, which for an engine that ignores tokens follows
 * from the leases alone; once a single owner remains, the engine reaches the desired setup.
 */
final class OrderRun {

    private static final OrderSettings SETTINGS = new OrderSettings(500, 400, 200);
    private static final long SETTLE_MILLIS = 10_000;
    private static final int MAX_NOTIFICATION_DELAY_MILLIS = 1_500;

    private final EventQueue mQueue = new EventQueue();
    private final UniformRandomProvider mRandom;
    private final SimulatedPlatform<String> mPlatform;
    private final FencingSupport mFencing;
    private final Holder[] mHolders;
    private final Map<Long, Incarnation> mFences = new HashMap<>();
    private Optional<EngineSetup> mEngine = Optional.empty();
    private long mHighestFence;
    private boolean mFaults;
    private int mOrders;
    private int mRejected;

    OrderRun(FencingSupport fencing, long seed) {
        mFencing = fencing;
        mRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        mPlatform = new SimulatedPlatform<>(mQueue, mRandom);
        mHolders = new Holder[] {new Holder("host-a"), new Holder("host-b")};
    }

    void steps(int steps) {
        mFaults = true;
        for (int i = 0; i < steps; i++) {
            mQueue.runFor(mRandom.nextInt(800));
            step(mRandom.nextInt(8));
        }
        mPlatform.mUnavailable = false;
        mPlatform.mLossRate = 0;
        mFaults = false;
        mQueue.runFor(MAX_NOTIFICATION_DELAY_MILLIS);
        EngineSetup desired = setup();
        Holder last = mHolders[mRandom.nextInt(2)];
        for (Holder holder : mHolders) {
            holder.mDesired = desired;
            holder.own(holder == last);
        }
        mQueue.runFor(SETTLE_MILLIS);
        require(mEngine.equals(Optional.of(desired)), () -> mEngine + " instead of " + desired);
    }

    int orders() {
        return mOrders;
    }

    int rejected() {
        return mRejected;
    }

    private void step(int choice) {
        Holder holder = mHolders[mRandom.nextInt(2)];
        switch (choice) {
            case 0 -> holder.mPausedUntilMillis = mQueue.now() + mRandom.nextInt(3_000);
            case 1 -> holder.own(true);
            case 2 -> holder.own(false);
            case 3 -> mPlatform.mUnavailable = mRandom.nextInt(3) == 0;
            case 4 -> mPlatform.mLossRate = mRandom.nextInt(2) * 0.2;
            default -> {
                EngineSetup desired = setup();
                mQueue.after(
                        mRandom.nextInt(MAX_NOTIFICATION_DELAY_MILLIS),
                        () -> mHolders[0].mDesired = desired);
                mQueue.after(
                        mRandom.nextInt(MAX_NOTIFICATION_DELAY_MILLIS),
                        () -> mHolders[1].mDesired = desired);
            }
        }
    }

    private EngineSetup setup() {
        int n = mRandom.nextInt(4);
        BackendRole role = n % 2 == 0 ? BackendRole.PREFILL : BackendRole.DECODE;
        return new EngineSetup(new ServiceName("malt-reader"), "model-" + n / 2, role);
    }

    private void arrive(long fence, EngineSetup setup) {
        if (mFencing == FencingSupport.HONOURS && fence < mHighestFence) {
            mRejected++;
            return;
        }
        require(
                fence >= mHighestFence,
                () -> "executed fence " + fence + " after " + mHighestFence);
        mHighestFence = fence;
        mOrders++;
        mEngine = Optional.of(setup);
    }

    private final class Holder {

        private final Incarnation mSelf;
        private final OrderController mController;
        private boolean mOwner = true;
        private boolean mDraining;
        private boolean mDrained;
        private long mPausedUntilMillis;
        private EngineSetup mDesired = setup();

        private Holder(String host) {
            mSelf = new Incarnation(new HostId(host), 1);
            mController = new OrderController(mSelf, mFencing, SETTINGS);
            mQueue.every(50, () -> handle(this::tick));
        }

        private void own(boolean owner) {
            handle(
                    () -> {
                        if (mOwner && !owner) {
                            apply(mController.stop());
                        }
                        mOwner = owner;
                    });
        }

        private void handle(Runnable event) {
            if (mPausedUntilMillis > mQueue.now()) {
                mQueue.after(mPausedUntilMillis - mQueue.now(), () -> handle(event));
            } else {
                event.run();
            }
        }

        private void after(long millis, Runnable event) {
            mQueue.after(millis, () -> handle(event));
        }

        private void tick() {
            if (mOwner) {
                apply(mController.tick(Optional.of(mDesired), mDrained, mQueue.now()));
            }
        }

        private void apply(List<OrderEffect> effects) {
            effects.forEach(this::apply);
        }

        private void apply(OrderEffect effect) {
            if (mFaults && mRandom.nextInt(10) == 0) {
                mPausedUntilMillis = mQueue.now() + mRandom.nextInt(1_500);
            }
            if (effect instanceof OrderEffect.ReadState) {
                long fence = mFencing == FencingSupport.HONOURS ? mHighestFence : 0;
                EngineReport report = new EngineReport(mEngine, fence);
                after(2, () -> apply(mController.onState(report, mQueue.now())));
            } else if (effect instanceof OrderEffect.AcquireSlots) {
                after(2, () -> apply(mController.onSlots(true, mQueue.now())));
            } else if (effect instanceof OrderEffect.StartDrain) {
                mDraining = true;
                after(mRandom.nextInt(300), () -> mDrained = mDraining);
            } else if (effect instanceof OrderEffect.EndDrain) {
                mDraining = false;
                mDrained = false;
            } else if (effect instanceof OrderEffect.ReadStatus) {
                mPlatform.read("fence", response -> handle(() -> apply(onStatus(response))));
            } else if (effect instanceof OrderEffect.AcquireFence take) {
                mPlatform.put(
                        "fence",
                        take.expectedVersion(),
                        take.status().text(),
                        response -> handle(() -> apply(onPut(response.result()))));
            } else if (effect instanceof OrderEffect.SendOrder order) {
                after(mRandom.nextInt(30), () -> send(order));
            }
        }

        private List<OrderEffect> onStatus(SimulatedPlatform.StoreResponse<String> response) {
            return response.result() == Result.DONE
                    ? mController.onStatus(
                            response.stored().version(),
                            response.stored().value().map(text -> FenceStatus.parse(text).get()),
                            mQueue.now())
                    : mController.onFailed(mQueue.now());
        }

        private List<OrderEffect> onPut(Result result) {
            return switch (result) {
                case DONE -> mController.onFenceAcquired(mQueue.now());
                case CONFLICT, LOST -> mController.onFenceUpdateUncertain();
                case UNAVAILABLE -> mController.onFailed(mQueue.now());
            };
        }

        private void send(OrderEffect.SendOrder order) {
            if (mController.maySend(order.fence(), mQueue.now())) {
                Incarnation other = mFences.put(order.fence(), mSelf);
                require(
                        other == null || other.equals(mSelf),
                        () -> "fence " + order.fence() + " used by " + other + " and " + mSelf);
                long delayMillis = mRandom.nextInt((int) SETTINGS.orderMillis());
                mQueue.after(delayMillis, () -> arrive(order.fence(), order.setup()));
            }
            after(SETTINGS.orderMillis(), () -> apply(mController.onOrderEnded(mQueue.now())));
        }
    }
}
