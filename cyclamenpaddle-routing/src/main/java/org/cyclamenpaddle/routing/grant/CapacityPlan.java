package org.cyclamenpaddle.routing.grant;

import java.util.Collection;
import org.cyclamenpaddle.core.id.AttemptId;
import org.cyclamenpaddle.core.message.GrantRequest;
import org.cyclamenpaddle.core.message.LedgerSummary;
import org.cyclamenpaddle.routing.schedule.Interval;

/** Allocation of a backend server's capacity in one role. */
interface CapacityPlan {

    /**
     * Returns the first interval in which the grant request fits beside the existing reservations.
     */
    Interval preview(
            GrantRequest request, Collection<Reservation> held, int reservedSlots, long nowMillis);

    /**
     * Reserves the capacity of a grant request in {@code span}, or from now on if it is already in
     * use.
     */
    void reserve(GrantRequest request, Interval span);

    /** Releases what {@link #reserve} reserved. */
    void release(AttemptId attempt);

    /** Records that an attempt has ended, as reported by its host. */
    void ended(Reservation reservation, long nowMillis);

    /** Limits the slots that are granted from now on. */
    void limitSlots(int maxSlots);

    /** Returns whether the grant request would be late if it got {@code span}. */
    boolean tooLate(GrantRequest request, Interval span, long nowMillis);

    /** Asserts that no more than the capacity is promised in {@code span}. */
    void requireCapacity(Collection<Reservation> held, Interval span, long nowMillis);

    LedgerSummary summary(Collection<Reservation> held, int reservedSlots, long nowMillis);
}
