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
 * Capacity plan of decode engines and plain services: timed slots and KV cache blocks.
 *
 * <p>A slot is promised from the first time at which the expected slots in use, plus some standard
 * deviations while slots are scarce, leave one free.
 */
final class SlotPlan implements CapacityPlan {

    private static final long HORIZON_MILLIS = 60_000;

    private record Demand(int pieces, long holdMillis, int slotLimit) {}

    private final BackendSpec mSpec;
    private final HoldTimeDistribution mHoldTimes = new HoldTimeDistribution();
    private final SafetyMargin mSafetyMargin;

    private int mMaxSlots = Integer.MAX_VALUE;

    SlotPlan(BackendSpec spec, LedgerSettings settings) {
        mSpec = spec;
        mSafetyMargin = new SafetyMargin(settings.safetyDeviations());
    }

    @Override
    public Interval preview(
            GrantRequest request, Collection<Reservation> held, int reservedSlots, long nowMillis) {
        long needed = nowMillis + Math.max(0, request.neededInMillis());
        Demand demand =
                new Demand(request.pieces(), request.holdMillis(), slotLimit(reservedSlots));
        long start = earliest(demand, held, needed, nowMillis);
        return new Interval(start, start + request.holdMillis());
    }

    @Override
    public void reserve(GrantRequest request, Interval span) {
        // The reservation in the ledger is all that is needed.
    }

    @Override
    public void release(AttemptId attempt) {
        // Nothing is held beside the reservation.
    }

    @Override
    public void ended(Reservation reservation, long nowMillis) {
        mHoldTimes.record(
                reservation.endMillis() - reservation.startMillis(),
                nowMillis - reservation.startMillis());
    }

    @Override
    public void limitSlots(int maxSlots) {
        mMaxSlots = maxSlots;
    }

    @Override
    public boolean tooLate(GrantRequest request, Interval span, long nowMillis) {
        boolean late = span.startMillis() - nowMillis > request.latestInMillis();
        if (request.latestInMillis() > 0) {
            // Requests for a slot right now come from late promises and do not indicate scarcity.
            mSafetyMargin.recordDecision(late);
        }
        return late;
    }

    @Override
    public void requireCapacity(Collection<Reservation> held, Interval span, long nowMillis) {
        Occupancy occupancy = occupancy(held, span.startMillis(), nowMillis);
        Invariants.require(
                occupancy.fitsWithin(mSpec.slots(), pieceLimit(), 0),
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
        Demand one = new Demand(1, 1, slots);
        long freeIn = earliest(one, held, nowMillis, nowMillis) - nowMillis;
        return new LedgerSummary(
                mSpec.id(),
                freeIn,
                Math.max(0, slots - held.size()),
                Math.max(0, mSpec.memoryPieces() - pieces),
                true);
    }

    /**
     * Between two promised starts free capacity only grows, so the first time with enough capacity
     * is found by bisection; a later start there would only leave less capacity for the promises
     * that follow.
     */
    private long earliest(
            Demand demand, Collection<Reservation> held, long fromMillis, long nowMillis) {
        List<Long> starts =
                held.stream()
                        .map(Reservation::startMillis)
                        .filter(start -> start > fromMillis)
                        .distinct()
                        .sorted()
                        .toList();
        long begin = fromMillis;
        for (long next : starts) {
            if (fitsAt(demand, held, next - 1, 0, nowMillis)) {
                Interval gap = new Interval(begin, next - 1);
                long first = firstFit(demand, held, gap, nowMillis);
                if (leavesCapacityForLater(demand, held, first, nowMillis)) {
                    return first;
                }
            }
            begin = next;
        }
        Interval rest = new Interval(begin, begin + HORIZON_MILLIS);
        return firstFit(demand, held, rest, nowMillis);
    }

    /**
     * Returns the first time in a gap with enough capacity, assuming there is enough at its end.
     */
    private long firstFit(
            Demand demand, Collection<Reservation> held, Interval gap, long nowMillis) {
        long low = gap.startMillis();
        long high = gap.endMillis();
        while (low < high) {
            long middle = low + (high - low) / 2;
            if (fitsAt(demand, held, middle, 0, nowMillis)) {
                high = middle;
            } else {
                low = middle + 1;
            }
        }
        return low;
    }

    private boolean leavesCapacityForLater(
            Demand demand, Collection<Reservation> held, long beginMillis, long nowMillis) {
        return held.stream()
                .mapToLong(Reservation::startMillis)
                .filter(start -> start > beginMillis)
                .allMatch(start -> fitsAt(demand, held, start, start - beginMillis, nowMillis));
    }

    private boolean fitsAt(
            Demand demand,
            Collection<Reservation> held,
            long atMillis,
            long elapsedMillis,
            long nowMillis) {
        Occupancy occupancy = occupancy(held, atMillis, nowMillis);
        double running = mHoldTimes.survival(demand.holdMillis(), 0, elapsedMillis);
        occupancy.add(running, demand.pieces());
        return occupancy.fitsWithin(demand.slotLimit(), pieceLimit(), mSafetyMargin.deviations());
    }

    private Occupancy occupancy(Collection<Reservation> held, long atMillis, long nowMillis) {
        Occupancy occupancy = new Occupancy();
        for (Reservation reservation : held) {
            if (reservation.started(atMillis)) {
                occupancy.add(
                        heldProbability(reservation, atMillis, nowMillis), reservation.pieces());
            }
        }
        return occupancy;
    }

    /**
     * Safeguard: an attempt that runs longer than expected would otherwise count as ended, its slot
     * would be promised again, and the full engine would reject the second request after its
     * prefill. Until it is known to have ended it counts as running now, and with decreasing
     * probability later.
     */
    private double heldProbability(Reservation reservation, long atMillis, long nowMillis) {
        long expected = reservation.endMillis() - reservation.startMillis();
        long elapsed = Math.max(0, nowMillis - reservation.startMillis());
        long from = Math.max(nowMillis, reservation.startMillis());
        return mHoldTimes.survival(expected, elapsed, atMillis - from);
    }

    private int slotLimit(int reservedSlots) {
        return Math.max(1, Math.min(mMaxSlots, mSpec.slots()) - reservedSlots);
    }

    private int pieceLimit() {
        return mSpec.memoryPieces() == 0 ? Integer.MAX_VALUE : mSpec.memoryPieces();
    }
}
