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
import org.cyclamenpaddle.fleet.simulation.FakePlatform.Result;

/**
 * Two hosts that each at times take themselves for the owner of one engine, are paused between a
 * decision and its effect, and learn of preset changes at different times.
 *
 * <p>Invariants: no two hosts order with one fencing number; the engine never obeys a number below
 * one that it obeyed before, which an engine that ignores numbers owes to leases alone; once one
 * owner is left, the engine comes to what is asked.
 */
final class OrderRun {

    private static final OrderSettings SETTINGS = new OrderSettings(500, 400, 200);
    private static final long SETTLE_MILLIS = 10_000;
    private static final int LATEST_NEWS_MILLIS = 1_500;

    private final EventQueue mQueue = new EventQueue();
    private final UniformRandomProvider mRandom;
    private final FakePlatform<String> mPlatform;
    private final FencingSupport mFencing;
    private final Holder[] mHolders;
    private final Map<Long, Incarnation> mFences = new HashMap<>();
    private Optional<EngineSetup> mEngine = Optional.empty();
    private long mObeyed;
    private boolean mFaults;
    private int mOrders;
    private int mRefused;

    OrderRun(FencingSupport fencing, long seed) {
        mFencing = fencing;
        mRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        mPlatform = new FakePlatform<>(mQueue, mRandom);
        mHolders = new Holder[] {new Holder("host-a"), new Holder("host-b")};
    }

    void steps(int steps) {
        mFaults = true;
        for (int i = 0; i < steps; i++) {
            mQueue.runFor(mRandom.nextInt(800));
            step(mRandom.nextInt(8));
        }
        mPlatform.mAway = false;
        mPlatform.mLoss = 0;
        mFaults = false;
        mQueue.runFor(LATEST_NEWS_MILLIS);
        EngineSetup asked = setup();
        Holder last = mHolders[mRandom.nextInt(2)];
        for (Holder holder : mHolders) {
            holder.mAsked = asked;
            holder.own(holder == last);
        }
        mQueue.runFor(SETTLE_MILLIS);
        require(mEngine.equals(Optional.of(asked)), () -> mEngine + " in place of " + asked);
    }

    int orders() {
        return mOrders;
    }

    int refused() {
        return mRefused;
    }

    private void step(int choice) {
        Holder holder = mHolders[mRandom.nextInt(2)];
        switch (choice) {
            case 0 -> holder.mPausedUntil = mQueue.now() + mRandom.nextInt(3_000);
            case 1 -> holder.own(true);
            case 2 -> holder.own(false);
            case 3 -> mPlatform.mAway = mRandom.nextInt(3) == 0;
            case 4 -> mPlatform.mLoss = mRandom.nextInt(2) * 0.2;
            default -> {
                EngineSetup asked = setup();
                mQueue.after(mRandom.nextInt(LATEST_NEWS_MILLIS), () -> mHolders[0].mAsked = asked);
                mQueue.after(mRandom.nextInt(LATEST_NEWS_MILLIS), () -> mHolders[1].mAsked = asked);
            }
        }
    }

    private EngineSetup setup() {
        int n = mRandom.nextInt(4);
        BackendRole role = n % 2 == 0 ? BackendRole.PREFILL : BackendRole.DECODE;
        return new EngineSetup(new ServiceName("malt-reader"), "model-" + n / 2, role);
    }

    private void arrive(long fence, EngineSetup setup) {
        if (mFencing == FencingSupport.HONOURS && fence < mObeyed) {
            mRefused++;
            return;
        }
        require(fence >= mObeyed, () -> "obeyed " + fence + " after " + mObeyed);
        mObeyed = fence;
        mOrders++;
        mEngine = Optional.of(setup);
    }

    private final class Holder {

        private final Incarnation mSelf;
        private final OrderController mController;
        private boolean mOwner = true;
        private boolean mDraining;
        private boolean mDrained;
        private long mPausedUntil;
        private EngineSetup mAsked = setup();

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
            if (mPausedUntil > mQueue.now()) {
                mQueue.after(mPausedUntil - mQueue.now(), () -> handle(event));
            } else {
                event.run();
            }
        }

        private void after(long millis, Runnable event) {
            mQueue.after(millis, () -> handle(event));
        }

        private void tick() {
            if (mOwner) {
                apply(mController.tick(Optional.of(mAsked), mDrained, mQueue.now()));
            }
        }

        private void apply(List<OrderEffect> effects) {
            effects.forEach(this::apply);
        }

        private void apply(OrderEffect effect) {
            if (mFaults && mRandom.nextInt(10) == 0) {
                mPausedUntil = mQueue.now() + mRandom.nextInt(1_500);
            }
            if (effect instanceof OrderEffect.ReadState) {
                long fence = mFencing == FencingSupport.HONOURS ? mObeyed : 0;
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
                mPlatform.read("fence", answer -> handle(() -> apply(onStatus(answer))));
            } else if (effect instanceof OrderEffect.TakeFence take) {
                mPlatform.put(
                        "fence",
                        take.expectedVersion(),
                        take.status().text(),
                        answer -> handle(() -> apply(onPut(answer.result()))));
            } else if (effect instanceof OrderEffect.SendOrder order) {
                after(mRandom.nextInt(30), () -> send(order));
            }
        }

        private List<OrderEffect> onStatus(FakePlatform.Answer<String> answer) {
            return answer.result() == Result.DONE
                    ? mController.onStatus(
                            answer.stored().version(),
                            answer.stored().value().map(text -> FenceStatus.parse(text).get()),
                            mQueue.now())
                    : mController.onFailed(mQueue.now());
        }

        private List<OrderEffect> onPut(Result result) {
            return switch (result) {
                case DONE -> mController.onFenceTaken(mQueue.now());
                case CONFLICT, LOST -> mController.onFenceUnsure();
                case AWAY -> mController.onFailed(mQueue.now());
            };
        }

        private void send(OrderEffect.SendOrder order) {
            if (mController.maySend(order.fence(), mQueue.now())) {
                Incarnation other = mFences.put(order.fence(), mSelf);
                require(
                        other == null || other.equals(mSelf),
                        () -> "fence " + order.fence() + " used by " + other + " and " + mSelf);
                long travels = mRandom.nextInt((int) SETTINGS.orderMillis());
                mQueue.after(travels, () -> arrive(order.fence(), order.setup()));
            }
            after(SETTINGS.orderMillis(), () -> apply(mController.onOrderEnded(mQueue.now())));
        }
    }
}
