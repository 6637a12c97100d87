package org.cyclamenpaddle.relay.store;

import java.util.Optional;
import java.util.function.LongSupplier;
import org.cyclamenpaddle.core.time.Clock;

/**
 * Tells whether the listing of the backend servers is recent enough to show which process runs at
 * an address. Thread-safe.
 *
 * <p>A server can start again under its id and at its address, with other software. Other hosts
 * know it from the store; a host that has lost the store does not.
 */
public final class ListingAge {

    /**
     * Time for which a listing counts after the store has confirmed it, in milliseconds: a watch,
     * its replacement and the timeout of a call, so that one lost watch does not matter.
     */
    public static final long VALID_MILLIS = 5_000;

    /**
     * Maximum difference between the steady clock and the wall clock since the confirmation, in
     * milliseconds.
     *
     * <p>Safeguard: the steady clock stops while a host is suspended, and its listing would appear
     * recent. A step of the wall clock has the same effect until the next confirmation.
     */
    static final long MAX_CLOCK_DRIFT_MILLIS = 500;

    private record Confirmation(long steadyMillis, long wallMillis) {}

    private final Clock mClock;
    private final LongSupplier mWallClock;
    private volatile Optional<Confirmation> mLast = Optional.empty();

    /**
     * Creates the age of a listing that the store has not confirmed yet.
     *
     * @param clock steady clock
     * @param wallClock wall clock, in milliseconds
     */
    public ListingAge(Clock clock, LongSupplier wallClock) {
        mClock = clock;
        mWallClock = wallClock;
    }

    /** Records that the store has answered a call for the listing or its changes. */
    public void confirm() {
        mLast = Optional.of(new Confirmation(mClock.millis(), mWallClock.getAsLong()));
    }

    /** Returns whether the store has confirmed the listing recently. */
    public boolean isRecent() {
        return mLast.filter(this::isRecent).isPresent();
    }

    private boolean isRecent(Confirmation last) {
        long steady = mClock.millis() - last.steadyMillis();
        long wall = mWallClock.getAsLong() - last.wallMillis();
        return steady <= VALID_MILLIS && Math.abs(wall - steady) <= MAX_CLOCK_DRIFT_MILLIS;
    }
}
