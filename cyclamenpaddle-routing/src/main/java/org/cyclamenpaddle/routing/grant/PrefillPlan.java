package org.cyclamenpaddle.routing.grant;

import java.util.Collection;
import org.cyclamenpaddle.core.config.BackendSpec;
import org.cyclamenpaddle.core.id.AttemptId;
import org.cyclamenpaddle.core.invariant.Invariants;
import org.cyclamenpaddle.core.message.GrantRequest;
import org.cyclamenpaddle.core.message.LedgerSummary;
import org.cyclamenpaddle.routing.link.LinkBudget;
import org.cyclamenpaddle.routing.schedule.Interval;
import org.cyclamenpaddle.routing.schedule.SerialSchedule;
import org.cyclamenpaddle.routing.schedule.UsageProfile;

/**
 * Capacity plan of a prefill engine: serial compute, then a transfer over a serial link.
 *
 * <p>A result holds its KV cache blocks from the start of its prefill to the end of its transfer.
 */
final class PrefillPlan implements CapacityPlan {

    private static final long MILLIS_PER_SECOND = 1_000;

    private final BackendSpec mSpec;
    private final LedgerSettings mSettings;
    private final SerialSchedule<AttemptId> mCompute = new SerialSchedule<>();
    private final LinkBudget mLink;

    PrefillPlan(BackendSpec spec, LedgerSettings settings) {
        mSpec = spec;
        mSettings = settings;
        mLink = new LinkBudget(spec.linkBytesPerSecond());
    }

    @Override
    public Interval preview(
            GrantRequest request, Collection<Reservation> held, int reservedSlots, long nowMillis) {
        UsageProfile memory = memoryProfile(held, nowMillis);
        long computeMillis = computeMillis(request.tokens());
        long from =
                nowMillis + Math.max(0, request.neededInMillis()) + backlogMillis(held, nowMillis);
        while (true) {
            long start = mCompute.earliest(from, computeMillis);
            long end = mLink.preview(start + computeMillis, request.transferBytes()).endMillis();
            long memoryFreeAt =
                    memory.earliest(
                            start, end - start, request.pieces(), Integer.MAX_VALUE, pieceLimit());
            if (memoryFreeAt <= start) {
                return new Interval(start, end);
            }
            from = memoryFreeAt;
        }
    }

    @Override
    public void reserve(GrantRequest request, Interval span) {
        long computeMillis = computeMillis(request.tokens());
        mCompute.reserve(request.attempt(), span.startMillis(), computeMillis);
        mLink.reserve(
                request.attempt(), span.startMillis() + computeMillis, request.transferBytes());
    }

    @Override
    public void release(AttemptId attempt) {
        mCompute.release(attempt);
        mLink.release(attempt);
    }

    @Override
    public void ended(Reservation reservation, long nowMillis) {
        // Prefill reservations are bounded by their computed times alone.
    }

    @Override
    public void limitSlots(int maxSlots) {
        // Prefill is serial, so slots do not limit it.
    }

    /** A result that arrives after it was needed is as useless as one that starts late. */
    @Override
    public boolean tooLate(GrantRequest request, Interval span, long nowMillis) {
        return span.endMillis() - nowMillis > request.latestInMillis();
    }

    @Override
    public void requireCapacity(Collection<Reservation> held, Interval span, long nowMillis) {
        UsageProfile window = new UsageProfile();
        for (Reservation reservation : held) {
            window.add(
                    Math.max(span.startMillis(), reservation.startMillis()),
                    Math.min(span.endMillis(), expectedEnd(reservation, nowMillis)),
                    reservation.pieces());
        }
        int pieces = window.peakPieces(span.startMillis());
        Invariants.require(
                pieces <= pieceLimit(),
                () -> pieces + " pieces promised of " + pieceLimit() + " on " + mSpec.id());
    }

    @Override
    public LedgerSummary summary(Collection<Reservation> held, int reservedSlots, long nowMillis) {
        long queue = mCompute.endOfLast(nowMillis) - nowMillis + backlogMillis(held, nowMillis);
        int freeSlots = Math.max(0, mSpec.slots() - reservedSlots - held.size());
        int freePieces =
                Math.max(
                        0,
                        mSpec.memoryPieces()
                                - memoryProfile(held, nowMillis).peakPieces(nowMillis));
        return new LedgerSummary(mSpec.id(), queue, freeSlots, freePieces, true);
    }

    /**
     * Returns how far the engine is behind its schedule.
     *
     * <p>Safeguard: the queue of a slow engine would otherwise appear empty as soon as the promised
     * times have passed, and every host would send it more requests. Each overdue result adds the
     * overdue time.
     */
    private long backlogMillis(Collection<Reservation> held, long nowMillis) {
        long overdue =
                held.stream().filter(reservation -> reservation.endMillis() < nowMillis).count();
        return overdue * mSettings.overdueMillis();
    }

    private UsageProfile memoryProfile(Collection<Reservation> held, long nowMillis) {
        UsageProfile profile = new UsageProfile();
        for (Reservation reservation : held) {
            long end = expectedEnd(reservation, nowMillis);
            profile.add(Math.min(reservation.startMillis(), end), end, reservation.pieces());
        }
        return profile;
    }

    private long computeMillis(int tokens) {
        long rate = mSpec.prefillTokensPerSecond();
        return rate == 0 ? 0 : (tokens * MILLIS_PER_SECOND + rate - 1) / rate;
    }

    private long expectedEnd(Reservation reservation, long nowMillis) {
        return reservation.expectedEnd(nowMillis, mSettings.overdueMillis());
    }

    private int pieceLimit() {
        return mSpec.memoryPieces() == 0 ? Integer.MAX_VALUE : mSpec.memoryPieces();
    }
}
