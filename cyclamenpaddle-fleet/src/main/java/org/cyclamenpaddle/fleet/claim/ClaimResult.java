package org.cyclamenpaddle.fleet.claim;

import org.cyclamenpaddle.fleet.claim.BookingEvent.ClaimConflict;
import org.cyclamenpaddle.fleet.claim.BookingEvent.ClaimWritten;
import org.cyclamenpaddle.fleet.claim.BookingEvent.PlatformUnavailable;

/** Result of a claim. */
public sealed interface ClaimResult {

    /** Returns the event that reports this result to the call. */
    BookingEvent event();

    /** The platform has stored the claim. */
    record Acquired() implements ClaimResult {

        @Override
        public BookingEvent event() {
            return new ClaimWritten();
        }
    }

    /**
     * Another attempt holds the key.
     *
     * @param existing its claim
     */
    record HeldByOther(ClaimRecord existing) implements ClaimResult {

        @Override
        public BookingEvent event() {
            return new ClaimConflict(existing);
        }
    }

    /** The claim could not be obtained: the platform is unavailable, or the shard is full. */
    record Unavailable() implements ClaimResult {

        @Override
        public BookingEvent event() {
            return new PlatformUnavailable();
        }
    }
}
