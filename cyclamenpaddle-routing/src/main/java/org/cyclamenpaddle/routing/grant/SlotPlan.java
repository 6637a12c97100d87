package org.cyclamenpaddle.routing.grant;

import java.util.Collection;
import org.cyclamenpaddle.core.config.BackendSpec;
import org.cyclamenpaddle.core.id.AttemptId;
import org.cyclamenpaddle.core.invariant.Invariants;
import org.cyclamenpaddle.core.message.GrantAsk;
import org.cyclamenpaddle.core.message.LedgerSummary;
import org.cyclamenpaddle.routing.schedule.Interval;
import org.cyclamenpaddle.routing.schedule.RoomProfile;

/** Timed slots and memory pieces: decode engines and plain services. */
final class SlotPlan implements RoomPlan {

    private final BackendSpec mSpec;
    private final LedgerSettings mSettings;

    SlotPlan(BackendSpec spec, LedgerSettings settings) {
        mSpec = spec;
        mSettings = settings;
    }

    @Override
    public Interval preview(
            GrantAsk ask, Collection<Reservation> held, int reservedSlots, long nowMillis) {
        long needed = nowMillis + Math.max(0, ask.neededInMillis());
        int slots = Math.max(1, mSpec.slots() - reservedSlots);
        long start =
                profile(held, nowMillis)
                        .earliest(needed, ask.holdMillis(), ask.pieces(), slots, pieceLimit());
        return new Interval(start, start + ask.holdMillis());
    }

    @Override
    public void take(GrantAsk ask, Interval span) {
        // The reservation itself, kept by the ledger, is all that is taken.
    }

    @Override
    public void release(AttemptId attempt) {
        // Nothing was taken beside the reservation.
    }

    @Override
    public boolean tooLate(GrantAsk ask, Interval span, long nowMillis) {
        return span.startMillis() - nowMillis > ask.latestInMillis();
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
        int slots = window.peakSlots(span.startMillis());
        int pieces = window.peakPieces(span.startMillis());
        Invariants.require(
                slots <= mSpec.slots(),
                () -> slots + " slots promised of " + mSpec.slots() + " on " + mSpec.id());
        Invariants.require(
                pieces <= pieceLimit(),
                () -> pieces + " pieces promised of " + pieceLimit() + " on " + mSpec.id());
    }

    @Override
    public LedgerSummary summary(Collection<Reservation> held, int reservedSlots, long nowMillis) {
        RoomProfile profile = profile(held, nowMillis);
        int slots = Math.max(0, mSpec.slots() - reservedSlots);
        int freeSlots = Math.max(0, slots - profile.peakSlots(nowMillis));
        int freePieces = Math.max(0, mSpec.memoryPieces() - profile.peakPieces(nowMillis));
        long freeAt = profile.earliest(nowMillis, 1, 1, Math.max(1, slots), pieceLimit());
        return new LedgerSummary(mSpec.id(), freeAt - nowMillis, freeSlots, freePieces, true);
    }

    private RoomProfile profile(Collection<Reservation> held, long nowMillis) {
        RoomProfile profile = new RoomProfile();
        for (Reservation reservation : held) {
            profile.add(
                    Math.min(reservation.startMillis(), expectedEnd(reservation, nowMillis)),
                    expectedEnd(reservation, nowMillis),
                    reservation.pieces());
        }
        return profile;
    }

    private long expectedEnd(Reservation reservation, long nowMillis) {
        return reservation.expectedEnd(nowMillis, mSettings.overdueMillis());
    }

    private int pieceLimit() {
        return mSpec.memoryPieces() == 0 ? Integer.MAX_VALUE : mSpec.memoryPieces();
    }
}
