package org.cyclamenpaddle.routing.grant;

import java.util.Collection;
import org.cyclamenpaddle.core.config.BackendSpec;
import org.cyclamenpaddle.core.id.AttemptId;
import org.cyclamenpaddle.core.invariant.Invariants;
import org.cyclamenpaddle.core.message.GrantRequest;
import org.cyclamenpaddle.core.message.LedgerSummary;
import org.cyclamenpaddle.routing.link.LinkBudget;
import org.cyclamenpaddle.routing.schedule.Interval;
import org.cyclamenpaddle.routing.schedule.RoomProfile;
import org.cyclamenpaddle.routing.schedule.SerialSchedule;

/**
 * Serial compute, then a transfer over a serial link: prefill engines.
 *
 * <p>A result holds its memory pieces from the start of its prefill to the end of its transfer.
 */
final class QueuePlan implements RoomPlan {

    private static final long MILLIS_PER_SECOND = 1_000;

    private final BackendSpec mSpec;
    private final LedgerSettings mSettings;
    private final SerialSchedule<AttemptId> mCompute = new SerialSchedule<>();
    private final LinkBudget mLink;

    QueuePlan(BackendSpec spec, LedgerSettings settings) {
        mSpec = spec;
        mSettings = settings;
        mLink = new LinkBudget(spec.linkBytesPerSecond());
    }

    @Override
    public Interval preview(
            GrantRequest ask, Collection<Reservation> held, int reservedSlots, long nowMillis) {
        RoomProfile memory = memory(held, nowMillis);
        long work = computeMillis(ask.tokens());
        long from = nowMillis + Math.max(0, ask.neededInMillis()) + backlogMillis(held, nowMillis);
        while (true) {
            long start = mCompute.earliest(from, work);
            long end = mLink.preview(start + work, ask.transferBytes()).endMillis();
            long room =
                    memory.earliest(
                            start, end - start, ask.pieces(), Integer.MAX_VALUE, pieceLimit());
            if (room <= start) {
                return new Interval(start, end);
            }
            from = room;
        }
    }

    @Override
    public void take(GrantRequest ask, Interval span) {
        long work = computeMillis(ask.tokens());
        mCompute.reserve(ask.attempt(), span.startMillis(), work);
        mLink.reserve(ask.attempt(), span.startMillis() + work, ask.transferBytes());
    }

    @Override
    public void release(AttemptId attempt) {
        mCompute.release(attempt);
        mLink.release(attempt);
    }

    @Override
    public void ended(Reservation reservation, long nowMillis) {
        // The room of a prefill is bounded by its computed times alone.
    }

    @Override
    public void limitSlots(int most) {
        // Prefill is serial; its slots are no batch.
    }

    /** A result that is across only after it was needed is as useless as one that starts late. */
    @Override
    public boolean tooLate(GrantRequest ask, Interval span, long nowMillis) {
        return span.endMillis() - nowMillis > ask.latestInMillis();
    }

    @Override
    public void requireRoom(Collection<Reservation> held, Interval span, long nowMillis) {
        RoomProfile window = new RoomProfile();
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
                Math.max(0, mSpec.memoryPieces() - memory(held, nowMillis).peakPieces(nowMillis));
        return new LedgerSummary(mSpec.id(), queue, freeSlots, freePieces, true);
    }

    /**
     * Returns how far the engine is behind its schedule.
     *
     * <p>Safeguard: a slow engine's queue would else look empty as soon as the promised times have
     * passed, and every host would send it more. Each overdue result adds its step.
     */
    private long backlogMillis(Collection<Reservation> held, long nowMillis) {
        long overdue =
                held.stream().filter(reservation -> reservation.endMillis() < nowMillis).count();
        return overdue * mSettings.overdueMillis();
    }

    private RoomProfile memory(Collection<Reservation> held, long nowMillis) {
        RoomProfile profile = new RoomProfile();
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
