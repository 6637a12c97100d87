package org.cyclamenpaddle.relay.store;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.concurrent.atomic.AtomicLong;
import org.cyclamenpaddle.core.time.VirtualClock;
import org.testng.annotations.Test;

/** Tests when a listing shows which process runs at an address. */
public class ListingAgeTest {

    private final VirtualClock mClock = new VirtualClock(0);
    private final AtomicLong mStoodStillMillis = new AtomicLong();
    private final ListingAge mAge =
            new ListingAge(mClock, () -> mClock.millis() + mStoodStillMillis.get());

    @Test
    public void listingIsRecentUntilTheStoreIsLostForAWhile() {
        mAge.confirm();
        mClock.advance(ListingAge.VALID_MILLIS);
        assertTrue(mAge.isRecent());
        mClock.advance(1);
        assertFalse(mAge.isRecent());
        mAge.confirm();
        assertTrue(mAge.isRecent());
    }

    /** Failure: a host that was suspended wakes and believes what it knew before. */
    @Test
    public void listingOfASuspendedHostIsNotRecent() {
        mAge.confirm();
        mStoodStillMillis.addAndGet(ListingAge.MAX_CLOCK_DRIFT_MILLIS + 1);
        assertFalse(mAge.isRecent());
        mAge.confirm();
        assertTrue(mAge.isRecent());
    }

    @Test
    public void listingThatWasNeverConfirmedIsNotRecent() {
        assertFalse(new ListingAge(mClock, mClock::millis).isRecent());
    }
}
