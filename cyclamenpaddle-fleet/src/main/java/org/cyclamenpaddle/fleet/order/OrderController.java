package org.cyclamenpaddle.fleet.order;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cyclamenpaddle.core.config.FencingSupport;
import org.cyclamenpaddle.core.id.Incarnation;
import org.cyclamenpaddle.fleet.order.OrderEffect.AcquireFence;
import org.cyclamenpaddle.fleet.order.OrderEffect.AcquireSlots;
import org.cyclamenpaddle.fleet.order.OrderEffect.EndDrain;
import org.cyclamenpaddle.fleet.order.OrderEffect.ReadState;
import org.cyclamenpaddle.fleet.order.OrderEffect.ReadStatus;
import org.cyclamenpaddle.fleet.order.OrderEffect.ReleaseSlots;
import org.cyclamenpaddle.fleet.order.OrderEffect.SendOrder;
import org.cyclamenpaddle.fleet.order.OrderEffect.StartDrain;

/**
 * Reconciles one engine with the preset in force, on the host that owns the engine's ledger.
 *
 * <p>Level-triggered: it reads the state that the engine reports and sends orders until that state
 * matches the desired one. Every order carries a fencing token obtained by conditional update, so
 * an engine that honours fencing tokens rejects orders of a former owner.
 *
 * <p>For an engine that ignores fencing tokens, a holder sends only within its lease, which it
 * measures by its own clock from before it acquired the token. A successor that has acquired the
 * token waits for the maximum duration of a lease and of an order, so no order of its predecessor
 * can arrive after it sends. If a predecessor was paused between its last check of the clock and
 * the send, its order may still arrive late; the next read detects this, and the setup is
 * corrected.
 *
 * <p>Not thread-safe. Every event returns the effects to perform, in order.
 */
public final class OrderController {

    private enum Phase {
        IDLE,
        READING_STATE,
        ACQUIRING,
        DRAINING,
        READING_STATUS,
        ACQUIRING_FENCE,
        WAITING_FOR_LEASE,
        ORDERING
    }

    private final Incarnation mSelf;
    private final FencingSupport mFencing;
    private final OrderSettings mSettings;
    private Phase mPhase = Phase.IDLE;
    private Optional<EngineSetup> mDesired = Optional.empty();
    private Optional<FenceStatus> mFence = Optional.empty();
    private long mReportedFence;
    private long mNextPollMillis = Long.MIN_VALUE;
    private long mLeaseEndMillis = Long.MIN_VALUE;
    private long mLeaseWaitEndMillis;
    private boolean mWaitingForLease;
    private boolean mSlotsHeld;
    private boolean mDrainStarted;

    /**
     * Creates the controller of an engine whose state is not known yet.
     *
     * @param self this host
     * @param fencing whether the engine rejects stale fencing tokens
     * @param settings timings
     */
    public OrderController(Incarnation self, FencingSupport fencing, OrderSettings settings) {
        mSelf = self;
        mFencing = fencing;
        mSettings = settings;
    }

    /**
     * Updates the desired setup and performs due work.
     *
     * @param desired setup of the engine in the preset in force; empty if the preset does not
     *     assign it
     * @param drained whether the drain that was started is complete
     * @param nowMillis reading of this host's clock
     */
    public List<OrderEffect> tick(Optional<EngineSetup> desired, boolean drained, long nowMillis) {
        mDesired = desired;
        if (mPhase == Phase.IDLE && nowMillis >= mNextPollMillis) {
            return desired.isPresent() ? readState() : release();
        }
        if (mPhase == Phase.DRAINING && drained) {
            return readStatus();
        }
        if (mPhase == Phase.WAITING_FOR_LEASE && nowMillis >= mLeaseWaitEndMillis) {
            return readStatus();
        }
        return List.of();
    }

    /** Processes the report of the engine. */
    public List<OrderEffect> onState(EngineReport report, long nowMillis) {
        if (mPhase != Phase.READING_STATE) {
            return List.of();
        }
        mReportedFence = report.fence();
        if (mDesired.isEmpty() || report.setup().equals(mDesired)) {
            scheduleNextPoll(nowMillis);
            return release();
        }
        if (mSlotsHeld) {
            return startDrain();
        }
        mPhase = Phase.ACQUIRING;
        boolean loads =
                report.setup().filter(s -> s.model().equals(mDesired.get().model())).isEmpty();
        return List.of(new AcquireSlots(report.setup().map(EngineSetup::service), loads));
    }

    /** Processes the result of acquiring the shared slots. */
    public List<OrderEffect> onSlots(boolean acquired, long nowMillis) {
        if (mPhase != Phase.ACQUIRING) {
            return List.of();
        }
        mSlotsHeld = acquired;
        if (!acquired) {
            scheduleNextPoll(nowMillis);
            return List.of();
        }
        return startDrain();
    }

    /**
     * Processes the status object.
     *
     * @param version its version; 0 if there is none
     * @param status its content, if there is one
     * @param nowMillis reading of this host's clock
     */
    public List<OrderEffect> onStatus(long version, Optional<FenceStatus> status, long nowMillis) {
        if (mPhase != Phase.READING_STATUS) {
            return List.of();
        }
        boolean heldBySelf = status.filter(s -> s.holder().equals(mSelf)).isPresent();
        boolean leaseWaitEnded = heldBySelf && mWaitingForLease && nowMillis >= mLeaseWaitEndMillis;
        boolean settled =
                mFencing == FencingSupport.HONOURS
                        || status.isEmpty()
                        || leaseWaitEnded
                        || heldBySelf && status.get().settled();
        FenceStatus acquiring = FenceStatus.after(status, mReportedFence, mSelf, settled);
        mFence = Optional.of(acquiring);
        // The lease starts before the write. A successor can acquire the token only after the
        // write, so its wait ends after the lease however long the response to the write takes.
        mLeaseEndMillis = nowMillis + mSettings.leaseMillis();
        mPhase = Phase.ACQUIRING_FENCE;
        return List.of(new AcquireFence(version, acquiring));
    }

    /** Processes the success of the update: the status object now names this host. */
    public List<OrderEffect> onFenceAcquired(long nowMillis) {
        if (mPhase != Phase.ACQUIRING_FENCE) {
            return List.of();
        }
        if (!mFence.orElseThrow().settled()) {
            mPhase = Phase.WAITING_FOR_LEASE;
            mWaitingForLease = true;
            mLeaseWaitEndMillis = nowMillis + mSettings.leaseMillis() + mSettings.orderMillis();
            return List.of();
        }
        mWaitingForLease = false;
        return send(nowMillis);
    }

    /** Processes a conflict or a lost response: another host may hold the token. */
    public List<OrderEffect> onFenceUpdateUncertain() {
        return mPhase == Phase.ACQUIRING_FENCE ? readStatus() : List.of();
    }

    /**
     * Returns whether an order with a fencing token may be sent now.
     *
     * @param fence fencing token that the order carries
     * @param nowMillis reading of this host's clock, immediately before the first byte is written
     */
    public boolean maySend(long fence, long nowMillis) {
        boolean current = mFence.filter(status -> status.fence() == fence).isPresent();
        return mPhase == Phase.ORDERING && current && nowMillis < mLeaseEndMillis;
    }

    /**
     * Processes the end of an order that was executed, rejected, not sent or lost; the engine's
     * next report shows which.
     */
    public List<OrderEffect> onOrderEnded(long nowMillis) {
        return mPhase == Phase.ORDERING ? readState() : List.of();
    }

    /** Processes a failure to reach the engine or the platform. */
    public List<OrderEffect> onFailed(long nowMillis) {
        scheduleNextPoll(nowMillis);
        return List.of();
    }

    /** Stops managing the engine because another host owns it now. */
    public List<OrderEffect> stop() {
        mPhase = Phase.IDLE;
        mWaitingForLease = false;
        return release();
    }

    private List<OrderEffect> startDrain() {
        if (mDrainStarted) {
            mPhase = Phase.DRAINING;
            return List.of();
        }
        mPhase = Phase.DRAINING;
        mDrainStarted = true;
        return List.of(new StartDrain());
    }

    private List<OrderEffect> send(long nowMillis) {
        if (mDesired.isEmpty()) {
            scheduleNextPoll(nowMillis);
            return List.of();
        }
        if (nowMillis >= mLeaseEndMillis) {
            return readStatus();
        }
        mPhase = Phase.ORDERING;
        return List.of(
                new SendOrder(
                        mFence.orElseThrow().fence(), mDesired.get(), mSettings.orderMillis()));
    }

    private List<OrderEffect> readState() {
        mPhase = Phase.READING_STATE;
        return List.of(new ReadState());
    }

    private List<OrderEffect> readStatus() {
        mPhase = Phase.READING_STATUS;
        return List.of(new ReadStatus());
    }

    private void scheduleNextPoll(long nowMillis) {
        mPhase = Phase.IDLE;
        mNextPollMillis = nowMillis + mSettings.pollMillis();
    }

    private List<OrderEffect> release() {
        List<OrderEffect> effects = new ArrayList<>();
        if (mDrainStarted) {
            mDrainStarted = false;
            effects.add(new EndDrain());
        }
        if (mSlotsHeld) {
            mSlotsHeld = false;
            effects.add(new ReleaseSlots());
        }
        return effects;
    }
}
