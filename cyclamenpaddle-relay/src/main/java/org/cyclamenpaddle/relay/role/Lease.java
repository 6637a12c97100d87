package org.cyclamenpaddle.relay.role;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * One host's view of the lease on giving orders, as a pure state machine.
 *
 * <p>Engines do not check who orders them. Two hosts that both believed to be in charge would send
 * engines back and forth; so an order leaves only while the lease is certainly held, and a new
 * holder waits until no order of the old one can still be under way. Not thread-safe.
 */
public final class Lease {

    /**
     * How long a renewal holds, in milliseconds, counted from before it was sent.
     *
     * <p>Three renewals a second apart may fail before the lease is lost.
     */
    public static final long HELD_MILLIS = 3_000;

    /** Time left on the lease that an order needs, in milliseconds: its call with its timeouts. */
    public static final long ORDER_MILLIS = 1_200;

    /**
     * How long a lease must stand still before another host takes it, in milliseconds.
     *
     * <p>Safeguard: what the old holder last sent arrives within its own lease and one order's
     * time; engines count two holders as fighting when they take turns within three seconds more.
     */
    public static final long TAKEOVER_MILLIS = HELD_MILLIS + ORDER_MILLIS + 3_000 + 1_000;

    /**
     * Difference between the steady clock and the time of day that is still trusted, in
     * milliseconds.
     *
     * <p>Safeguard: the steady clock stands still while a host is frozen, so that a lease that ran
     * out long ago would look fresh; the time of day moves on and shows it. A step of the time of
     * day costs the lease for nothing, which harms nobody.
     */
    static final long DRIFT_MILLIS = 500;

    /** A write that this host should make. */
    public record Claim(LeaseRecord record, OptionalLong revision) {}

    private record Held(StoredLease lease, long sentMillis, long sentWallMillis) {}

    private final String mSelf;
    private Optional<StoredLease> mSeen = Optional.empty();
    private long mSeenSinceMillis;
    private Optional<Held> mHeld = Optional.empty();

    /**
     * Creates a view that knows nothing.
     *
     * @param self names this life of this host
     */
    public Lease(String self) {
        mSelf = self;
    }

    /** Returns whether this host wrote the lease as it is last known. */
    public boolean isHolder() {
        return mHeld.isPresent();
    }

    /**
     * Returns the fence to order by; empty unless an order may leave now.
     *
     * @param nowMillis reading of the steady clock
     * @param wallMillis time of day
     */
    public OptionalLong fence(long nowMillis, long wallMillis) {
        return mHeld.filter(held -> certain(held, nowMillis, wallMillis)).stream()
                .mapToLong(held -> held.lease().record().fencingToken())
                .findFirst();
    }

    /** Takes in what the store holds. */
    public void seen(Optional<StoredLease> lease, long nowMillis) {
        if (!lease.equals(mSeen)) {
            mSeen = lease;
            mSeenSinceMillis = nowMillis;
        }
        boolean own = lease.map(this::isOwn).orElse(false);
        if (!own) {
            mHeld = Optional.empty();
        }
    }

    /** Returns the write that is due: a renewal, the first claim, or a takeover. */
    public Optional<Claim> due(long nowMillis) {
        if (mHeld.isPresent()) {
            LeaseRecord old = mHeld.get().lease().record();
            return Optional.of(
                    new Claim(
                            new LeaseRecord(mSelf, old.fencingToken(), old.heartbeat() + 1),
                            OptionalLong.of(mHeld.get().lease().revision())));
        }
        if (mSeen.isEmpty()) {
            return Optional.of(new Claim(new LeaseRecord(mSelf, 1, 0), OptionalLong.empty()));
        }
        boolean abandoned = nowMillis - mSeenSinceMillis >= TAKEOVER_MILLIS;
        StoredLease old = mSeen.get();
        return abandoned
                ? Optional.of(
                        new Claim(
                                new LeaseRecord(mSelf, old.record().fencingToken() + 1, 0),
                                OptionalLong.of(old.revision())))
                : Optional.empty();
    }

    /**
     * Takes in a write that the store has confirmed.
     *
     * @param lease as it lies there now
     * @param sentMillis steady clock before the write was sent
     * @param sentWallMillis time of day before the write was sent
     */
    public void written(StoredLease lease, long sentMillis, long sentWallMillis) {
        mSeen = Optional.of(lease);
        mSeenSinceMillis = sentMillis;
        mHeld = Optional.of(new Held(lease, sentMillis, sentWallMillis));
    }

    /** Takes in that a write was refused, or that its outcome is unknown: it must be read anew. */
    public void notWritten() {
        mHeld = Optional.empty();
    }

    private boolean certain(Held held, long nowMillis, long wallMillis) {
        long spent = nowMillis - held.sentMillis();
        long wallSpent = wallMillis - held.sentWallMillis();
        return spent + ORDER_MILLIS <= HELD_MILLIS && Math.abs(wallSpent - spent) <= DRIFT_MILLIS;
    }

    private boolean isOwn(StoredLease lease) {
        return mHeld.map(held -> held.lease().equals(lease)).orElse(false);
    }
}
