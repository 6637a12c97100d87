package org.cyclamenpaddle.relay.role;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * State machine for one host's view of the lease on issuing orders; performs no I/O.
 *
 * <p>Engines do not check which host orders them, and two hosts that both act as holder would
 * switch engines back and forth. Therefore an order is issued only while the lease is certainly
 * held, and a new holder waits until no order of the previous one can still be in progress. Not
 * thread-safe.
 */
public final class Lease {

    /**
     * Duration of the lease after a renewal, in milliseconds, counted from before the renewal was
     * sent.
     *
     * <p>Three renewals, one second apart, may fail before the lease is lost.
     */
    public static final long LEASE_MILLIS = 3_000;

    /**
     * Minimum remaining lease time for issuing an order, in milliseconds: its call including
     * timeouts.
     */
    public static final long ORDER_MARGIN_MILLIS = 1_200;

    /**
     * Time for which a lease must be unchanged before another host takes it over, in milliseconds.
     *
     * <p>Safeguard: the last order of the previous holder arrives within its lease and the time of
     * one order; engines treat two holders as conflicting if their orders alternate within three
     * more seconds.
     */
    public static final long TAKEOVER_MILLIS = LEASE_MILLIS + ORDER_MARGIN_MILLIS + 3_000 + 1_000;

    /**
     * Maximum difference between the steady clock and the wall clock since the renewal, in
     * milliseconds.
     *
     * <p>Safeguard: the steady clock stops while a host is suspended, so a lease that expired long
     * ago would appear valid; the wall clock continues and shows the difference. A step of the wall
     * clock causes an unnecessary loss of the lease, which is harmless.
     */
    static final long MAX_CLOCK_DRIFT_MILLIS = 500;

    /** Conditional write that this host should perform. */
    public record LeaseWrite(LeaseRecord record, OptionalLong revision) {}

    private record HeldLease(StoredLease lease, long sentMillis, long sentWallMillis) {}

    private final String mSelf;
    private Optional<StoredLease> mObserved = Optional.empty();
    private long mObservedSinceMillis;
    private Optional<HeldLease> mHeld = Optional.empty();

    /**
     * Creates a view without any knowledge of the lease.
     *
     * @param self identifies this incarnation of this host
     */
    public Lease(String self) {
        mSelf = self;
    }

    /** Returns whether this host wrote the last known state of the lease. */
    public boolean isHolder() {
        return mHeld.isPresent();
    }

    /**
     * Returns the fencing token for an order; empty unless an order may be issued now.
     *
     * @param nowMillis current time of the steady clock
     * @param wallMillis current time of the wall clock
     */
    public OptionalLong fencingToken(long nowMillis, long wallMillis) {
        return mHeld.filter(held -> isValid(held, nowMillis, wallMillis)).stream()
                .mapToLong(held -> held.lease().record().fence())
                .findFirst();
    }

    /** Records the state of the lease as read from the store. */
    public void observe(Optional<StoredLease> lease, long nowMillis) {
        if (!lease.equals(mObserved)) {
            mObserved = lease;
            mObservedSinceMillis = nowMillis;
        }
        boolean own = lease.map(this::isOwn).orElse(false);
        if (!own) {
            mHeld = Optional.empty();
        }
    }

    /** Returns the write that is due: a renewal, the first claim, or a takeover. */
    public Optional<LeaseWrite> nextWrite(long nowMillis) {
        if (mHeld.isPresent()) {
            LeaseRecord old = mHeld.get().lease().record();
            return Optional.of(
                    new LeaseWrite(
                            new LeaseRecord(mSelf, old.fence(), old.beat() + 1),
                            OptionalLong.of(mHeld.get().lease().revision())));
        }
        if (mObserved.isEmpty()) {
            return Optional.of(new LeaseWrite(new LeaseRecord(mSelf, 1, 0), OptionalLong.empty()));
        }
        boolean abandoned = nowMillis - mObservedSinceMillis >= TAKEOVER_MILLIS;
        StoredLease old = mObserved.get();
        return abandoned
                ? Optional.of(
                        new LeaseWrite(
                                new LeaseRecord(mSelf, old.record().fence() + 1, 0),
                                OptionalLong.of(old.revision())))
                : Optional.empty();
    }

    /**
     * Records a write that the store has confirmed.
     *
     * @param lease the stored lease
     * @param sentMillis steady clock time before the write was sent
     * @param sentWallMillis wall clock time before the write was sent
     */
    public void confirmWrite(StoredLease lease, long sentMillis, long sentWallMillis) {
        mObserved = Optional.of(lease);
        mObservedSinceMillis = sentMillis;
        mHeld = Optional.of(new HeldLease(lease, sentMillis, sentWallMillis));
    }

    /**
     * Records that a write was rejected or its outcome is unknown; the lease must be read again.
     */
    public void failWrite() {
        mHeld = Optional.empty();
    }

    private boolean isValid(HeldLease held, long nowMillis, long wallMillis) {
        long spent = nowMillis - held.sentMillis();
        long wallSpent = wallMillis - held.sentWallMillis();
        return spent + ORDER_MARGIN_MILLIS <= LEASE_MILLIS
                && Math.abs(wallSpent - spent) <= MAX_CLOCK_DRIFT_MILLIS;
    }

    private boolean isOwn(StoredLease lease) {
        return mHeld.map(held -> held.lease().equals(lease)).orElse(false);
    }
}
