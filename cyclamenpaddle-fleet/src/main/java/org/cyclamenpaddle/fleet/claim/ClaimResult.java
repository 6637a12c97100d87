package org.cyclamenpaddle.fleet.claim;

import org.cyclamenpaddle.fleet.claim.BookingEvent.ClaimConflict;
import org.cyclamenpaddle.fleet.claim.BookingEvent.ClaimWritten;
import org.cyclamenpaddle.fleet.claim.BookingEvent.PlatformUnavailable;

/** What became of a claim. */
public sealed interface ClaimResult {

    /** Returns the event that tells the call. */
    BookingEvent event();

    /** The platform keeps it. */
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

    /** It could not be had: the platform is away, or the shard is full. */
    record Unavailable() implements ClaimResult {

        @Override
        public BookingEvent event() {
            return new PlatformUnavailable();
        }
    }
}
