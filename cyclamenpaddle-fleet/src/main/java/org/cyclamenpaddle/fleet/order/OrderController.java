package org.cyclamenpaddle.fleet.order;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cyclamenpaddle.core.config.FencingSupport;
import org.cyclamenpaddle.core.id.Incarnation;
import org.cyclamenpaddle.fleet.order.OrderEffect.AcquireSlots;
import org.cyclamenpaddle.fleet.order.OrderEffect.EndDrain;
import org.cyclamenpaddle.fleet.order.OrderEffect.ReadState;
import org.cyclamenpaddle.fleet.order.OrderEffect.ReadStatus;
import org.cyclamenpaddle.fleet.order.OrderEffect.ReleaseSlots;
import org.cyclamenpaddle.fleet.order.OrderEffect.SendOrder;
import org.cyclamenpaddle.fleet.order.OrderEffect.StartDrain;
import org.cyclamenpaddle.fleet.order.OrderEffect.TakeFence;

/**
 * Brings one engine in line with the preset in force, on the host that owns its ledger.
 *
 * <p>Level-triggered: it reads what the engine reports, and orders the difference to what is asked,
 * until there is none. Every order carries a fencing number taken by conditional update, so an
 * engine that honours fences refuses an order of a former owner.
 *
 * <p>For an engine that ignores them a holder sends only within its lease, by its own clock, from
 * before it took the fence. A successor that has taken the fence waits as long as the longest lease
 * and the longest order last, so nothing of its predecessor can arrive any more when it sends. If a
 * predecessor was paused between its last look at the clock and the sending, its order may still
 * arrive late; the next read shows that, and it is corrected.
 *
 * <p>Not thread-safe. Every event returns the effects to carry out, in order.
 */
public final class OrderController {

    private enum Phase {
        IDLE,
        READING_STATE,
        ACQUIRING,
        DRAINING,
        READING_STATUS,
        TAKING_FENCE,
        WAITING_OUT,
        ORDERING
    }

    private final Incarnation mSelf;
    private final FencingSupport mFencing;
    private final OrderSettings mSettings;
    private Phase mPhase = Phase.IDLE;
    private Optional<EngineSetup> mAsked = Optional.empty();
    private Optional<FenceStatus> mTaking = Optional.empty();
    private long mReportedFence;
    private long mNextPollMillis = Long.MIN_VALUE;
    private long mLeaseEndMillis = Long.MIN_VALUE;
    private long mWaitedOutMillis;
    private boolean mWaiting;
    private boolean mSlots;
    private boolean mDrain;

    /**
     * Creates the controller of an engine of which nothing is known.
     *
     * @param self this host
     * @param fencing whether the engine refuses old fencing numbers
     * @param settings timings
     */
    public OrderController(Incarnation self, FencingSupport fencing, OrderSettings settings) {
        mSelf = self;
        mFencing = fencing;
        mSettings = settings;
    }

    /**
     * Takes in what is asked, and does what is due.
     *
     * @param asked what the preset in force asks of the engine; empty if it asks nothing
     * @param drained whether the drain that was started is complete
     * @param nowMillis reading of this host's clock
     */
    public List<OrderEffect> tick(Optional<EngineSetup> asked, boolean drained, long nowMillis) {
        mAsked = asked;
        if (mPhase == Phase.IDLE && nowMillis >= mNextPollMillis) {
            return asked.isPresent() ? readState() : release();
        }
        if (mPhase == Phase.DRAINING && drained) {
            return readStatus();
        }
        if (mPhase == Phase.WAITING_OUT && nowMillis >= mWaitedOutMillis) {
            return readStatus();
        }
        return List.of();
    }

    /** Takes in what the engine reports. */
    public List<OrderEffect> onState(EngineReport report, long nowMillis) {
        if (mPhase != Phase.READING_STATE) {
            return List.of();
        }
        mReportedFence = report.fence();
        if (mAsked.isEmpty() || report.setup().equals(mAsked)) {
            rest(nowMillis);
            return release();
        }
        if (mSlots) {
            return afterSlots();
        }
        mPhase = Phase.ACQUIRING;
        boolean loads =
                report.setup().filter(s -> s.model().equals(mAsked.get().model())).isEmpty();
        return List.of(new AcquireSlots(report.setup().map(EngineSetup::service), loads));
    }

    /** Takes in whether the shared slots were had. */
    public List<OrderEffect> onSlots(boolean acquired, long nowMillis) {
        if (mPhase != Phase.ACQUIRING) {
            return List.of();
        }
        mSlots = acquired;
        if (!acquired) {
            rest(nowMillis);
            return List.of();
        }
        return afterSlots();
    }

    /**
     * Takes in the status object.
     *
     * @param version its version; 0 if there is none
     * @param status its content, if there is one
     * @param nowMillis reading of this host's clock
     */
    public List<OrderEffect> onStatus(long version, Optional<FenceStatus> status, long nowMillis) {
        if (mPhase != Phase.READING_STATUS) {
            return List.of();
        }
        boolean mine = status.filter(s -> s.holder().equals(mSelf)).isPresent();
        boolean waitedOut = mine && mWaiting && nowMillis >= mWaitedOutMillis;
        boolean settled =
                mFencing == FencingSupport.HONOURS
                        || status.isEmpty()
                        || waitedOut
                        || mine && status.get().settled();
        FenceStatus taking = FenceStatus.after(status, mReportedFence, mSelf, settled);
        mTaking = Optional.of(taking);
        // The lease counts from before the write: a successor can take the fence only after it,
        // so its wait ends after the lease however long the answer to this write takes.
        mLeaseEndMillis = nowMillis + mSettings.leaseMillis();
        mPhase = Phase.TAKING_FENCE;
        return List.of(new TakeFence(version, taking));
    }

    /** Takes in that the status object now names this host. */
    public List<OrderEffect> onFenceTaken(long nowMillis) {
        if (mPhase != Phase.TAKING_FENCE) {
            return List.of();
        }
        if (!mTaking.orElseThrow().settled()) {
            mPhase = Phase.WAITING_OUT;
            mWaiting = true;
            mWaitedOutMillis = nowMillis + mSettings.leaseMillis() + mSettings.orderMillis();
            return List.of();
        }
        mWaiting = false;
        return send(nowMillis);
    }

    /** Takes in that another host wrote first, or that it is not known who did. */
    public List<OrderEffect> onFenceUnsure() {
        return mPhase == Phase.TAKING_FENCE ? readStatus() : List.of();
    }

    /**
     * Returns whether an order with a fencing number may leave now.
     *
     * @param fence the number that the order carries
     * @param nowMillis reading of this host's clock, right before the first byte
     */
    public boolean maySend(long fence, long nowMillis) {
        boolean current = mTaking.filter(taken -> taken.fence() == fence).isPresent();
        return mPhase == Phase.ORDERING && current && nowMillis < mLeaseEndMillis;
    }

    /** Takes in that an order was carried out, refused, not sent or lost; the engine tells. */
    public List<OrderEffect> onOrderEnded(long nowMillis) {
        return mPhase == Phase.ORDERING ? readState() : List.of();
    }

    /** Takes in that the engine or the platform could not be reached. */
    public List<OrderEffect> onFailed(long nowMillis) {
        rest(nowMillis);
        return List.of();
    }

    /** Gives up the engine because another host owns it now. */
    public List<OrderEffect> stop() {
        mPhase = Phase.IDLE;
        mWaiting = false;
        return release();
    }

    private List<OrderEffect> afterSlots() {
        if (mDrain) {
            mPhase = Phase.DRAINING;
            return List.of();
        }
        mPhase = Phase.DRAINING;
        mDrain = true;
        return List.of(new StartDrain());
    }

    private List<OrderEffect> send(long nowMillis) {
        if (mAsked.isEmpty()) {
            rest(nowMillis);
            return List.of();
        }
        if (nowMillis >= mLeaseEndMillis) {
            return readStatus();
        }
        mPhase = Phase.ORDERING;
        return List.of(
                new SendOrder(
                        mTaking.orElseThrow().fence(), mAsked.get(), mSettings.orderMillis()));
    }

    private List<OrderEffect> readState() {
        mPhase = Phase.READING_STATE;
        return List.of(new ReadState());
    }

    private List<OrderEffect> readStatus() {
        mPhase = Phase.READING_STATUS;
        return List.of(new ReadStatus());
    }

    private void rest(long nowMillis) {
        mPhase = Phase.IDLE;
        mNextPollMillis = nowMillis + mSettings.pollMillis();
    }

    private List<OrderEffect> release() {
        List<OrderEffect> effects = new ArrayList<>();
        if (mDrain) {
            mDrain = false;
            effects.add(new EndDrain());
        }
        if (mSlots) {
            mSlots = false;
            effects.add(new ReleaseSlots());
        }
        return effects;
    }
}
