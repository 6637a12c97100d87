package org.cyclamenpaddle.routing.grant;

import java.util.Collection;
import org.cyclamenpaddle.core.id.AttemptId;
import org.cyclamenpaddle.core.message.GrantRequest;
import org.cyclamenpaddle.core.message.LedgerSummary;
import org.cyclamenpaddle.routing.schedule.Interval;

/** How the room of a backend server is given out in one role. */
interface RoomPlan {

    /** Returns the first span in which the ask fits beside what is held. */
    Interval preview(
            GrantRequest ask, Collection<Reservation> held, int reservedSlots, long nowMillis);

    /** Takes the room of an ask in {@code span}, or from now on if it is already in use. */
    void take(GrantRequest ask, Interval span);

    /** Gives back what {@link #take} took. */
    void release(AttemptId attempt);

    /** Takes in that an attempt ended by word of its host. */
    void ended(Reservation reservation, long nowMillis);

    /** Gives out no more than some of the slots from now on. */
    void limitSlots(int most);

    /** Returns whether the ask is expected to come too late if it gets {@code span}. */
    boolean tooLate(GrantRequest ask, Interval span, long nowMillis);

    /** Asserts that no more is promised in {@code span} than there is. */
    void requireRoom(Collection<Reservation> held, Interval span, long nowMillis);

    LedgerSummary summary(Collection<Reservation> held, int reservedSlots, long nowMillis);
}
