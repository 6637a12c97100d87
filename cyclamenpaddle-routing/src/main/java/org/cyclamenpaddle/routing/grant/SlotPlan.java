package org.cyclamenpaddle.routing.grant;

import java.util.Collection;
import java.util.List;
import org.cyclamenpaddle.core.config.BackendSpec;
import org.cyclamenpaddle.core.id.AttemptId;
import org.cyclamenpaddle.core.invariant.Invariants;
import org.cyclamenpaddle.core.message.GrantRequest;
import org.cyclamenpaddle.core.message.LedgerSummary;
import org.cyclamenpaddle.routing.schedule.Interval;

/**
 * Timed slots and memory pieces: decode engines and plain services.
 *
 * <p>A slot is promised from the first instant at which the slots expected to be in use, and while
 * slots are scarce some standard deviations more, leave one free.
 */
final class SlotPlan implements RoomPlan {

    private static final long HORIZON_MILLIS = 60_000;

    private record Wanted(int pieces, long holdMillis, int slotLimit) {}

    private final BackendSpec mSpec;
    private final HoldCurve mCurve = new HoldCurve();
    private final Caution mCaution;

    private int mMostSlots = Integer.MAX_VALUE;

    SlotPlan(BackendSpec spec, LedgerSettings settings) {
        mSpec = spec;
        mCaution = new Caution(settings.safetyDeviations());
    }

    @Override
    public Interval preview(
            GrantRequest ask, Collection<Reservation> held, int reservedSlots, long nowMillis) {
        long needed = nowMillis + Math.max(0, ask.neededInMillis());
        Wanted wanted = new Wanted(ask.pieces(), ask.holdMillis(), slotLimit(reservedSlots));
        long start = earliest(wanted, held, needed, nowMillis);
        return new Interval(start, start + ask.holdMillis());
    }

    @Override
    public void take(GrantRequest ask, Interval span) {
        // The reservation itself, kept by the ledger, is all that is taken.
    }

    @Override
    public void release(AttemptId attempt) {
        // Nothing was taken beside the reservation.
    }

    @Override
    public void ended(Reservation reservation, long nowMillis) {
        mCurve.ended(
                reservation.endMillis() - reservation.startMillis(),
                nowMillis - reservation.startMillis());
    }

    @Override
    public void limitSlots(int most) {
        mMostSlots = most;
    }

    @Override
    public boolean tooLate(GrantRequest ask, Interval span, long nowMillis) {
        boolean late = span.startMillis() - nowMillis > ask.latestInMillis();
        if (ask.latestInMillis() > 0) {
            // Asks for a slot at this very instant are those of late promises, and tell nothing.
            mCaution.decided(late);
        }
        return late;
    }

    @Override
    public void requireRoom(Collection<Reservation> held, Interval span, long nowMillis) {
        Occupancy occupancy = occupancy(held, span.startMillis(), nowMillis);
        Invariants.require(
                occupancy.within(mSpec.slots(), pieceLimit(), 0),
                () ->
                        occupancy.slots()
                                + " slots and "
                                + occupancy.pieces()
                                + " pieces promised on "
                                + mSpec.id());
    }

    @Override
    public LedgerSummary summary(Collection<Reservation> held, int reservedSlots, long nowMillis) {
        int pieces = held.stream().mapToInt(Reservation::pieces).sum();
        int slots = slotLimit(reservedSlots);
        Wanted one = new Wanted(1, 1, slots);
        long freeIn = earliest(one, held, nowMillis, nowMillis) - nowMillis;
        return new LedgerSummary(
                mSpec.id(),
                freeIn,
                Math.max(0, slots - held.size()),
                Math.max(0, mSpec.memoryPieces() - pieces),
                true);
    }

    /**
     * Between two promised starts room only grows, so the first instant with room is found by
     * halving; a later begin there would only leave less room to the promises that follow.
     */
    private long earliest(
            Wanted wanted, Collection<Reservation> held, long fromMillis, long nowMillis) {
        List<Long> starts =
                held.stream()
                        .map(Reservation::startMillis)
                        .filter(start -> start > fromMillis)
                        .distinct()
                        .sorted()
                        .toList();
        long begin = fromMillis;
        for (long next : starts) {
            if (fitsAt(wanted, held, next - 1, 0, nowMillis)) {
                Interval stretch = new Interval(begin, next - 1);
                long first = firstRoom(wanted, held, stretch, nowMillis);
                if (leavesRoomLater(wanted, held, first, nowMillis)) {
                    return first;
                }
            }
            begin = next;
        }
        Interval rest = new Interval(begin, begin + HORIZON_MILLIS);
        return firstRoom(wanted, held, rest, nowMillis);
    }

    /** Returns the first instant of a stretch with room, its end taken to have room. */
    private long firstRoom(
            Wanted wanted, Collection<Reservation> held, Interval stretch, long nowMillis) {
        long low = stretch.startMillis();
        long high = stretch.endMillis();
        while (low < high) {
            long middle = low + (high - low) / 2;
            if (fitsAt(wanted, held, middle, 0, nowMillis)) {
                high = middle;
            } else {
                low = middle + 1;
            }
        }
        return low;
    }

    private boolean leavesRoomLater(
            Wanted wanted, Collection<Reservation> held, long beginMillis, long nowMillis) {
        return held.stream()
                .mapToLong(Reservation::startMillis)
                .filter(start -> start > beginMillis)
                .allMatch(start -> fitsAt(wanted, held, start, start - beginMillis, nowMillis));
    }

    private boolean fitsAt(
            Wanted wanted,
            Collection<Reservation> held,
            long atMillis,
            long elapsedMillis,
            long nowMillis) {
        Occupancy occupancy = occupancy(held, atMillis, nowMillis);
        double running = mCurve.survival(wanted.holdMillis(), 0, elapsedMillis);
        occupancy.add(running, wanted.pieces());
        return occupancy.within(wanted.slotLimit(), pieceLimit(), mCaution.deviations());
    }

    private Occupancy occupancy(Collection<Reservation> held, long atMillis, long nowMillis) {
        Occupancy occupancy = new Occupancy();
        for (Reservation reservation : held) {
            if (reservation.begun(atMillis)) {
                occupancy.add(chanceHeld(reservation, atMillis, nowMillis), reservation.pieces());
            }
        }
        return occupancy;
    }

    /**
     * Safeguard: an attempt that runs longer than expected would else be counted as gone, its slot
     * promised again, and the second request refused by the full engine after its prefill. Until it
     * is known to have ended it counts as held now, and with a falling chance later.
     */
    private double chanceHeld(Reservation reservation, long atMillis, long nowMillis) {
        long expected = reservation.endMillis() - reservation.startMillis();
        long elapsed = Math.max(0, nowMillis - reservation.startMillis());
        long from = Math.max(nowMillis, reservation.startMillis());
        return mCurve.survival(expected, elapsed, atMillis - from);
    }

    private int slotLimit(int reservedSlots) {
        return Math.max(1, Math.min(mMostSlots, mSpec.slots()) - reservedSlots);
    }

    private int pieceLimit() {
        return mSpec.memoryPieces() == 0 ? Integer.MAX_VALUE : mSpec.memoryPieces();
    }
}
