package org.cyclamenpaddle.routing.placement;

import java.util.Optional;
import org.cyclamenpaddle.core.config.BackendSpec;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.message.LedgerSummary;

/**
 * One host's view of a backend server at the time of placement.
 *
 * @param spec the declaration
 * @param hint latest summary from the ledger's owner; empty if none was received
 * @param hintAgeMillis age of the hint
 * @param inFlight attempts that this host itself has in flight on the backend server
 * @param excluded whether the request may not run there, for example because of quarantine
 * @param suspected whether it is suspected to be unreachable
 * @param distanceMillis one-way latency to its failure domain
 */
public record BackendView(
        BackendSpec spec,
        Optional<LedgerSummary> hint,
        long hintAgeMillis,
        int inFlight,
        boolean excluded,
        boolean suspected,
        long distanceMillis) {

    public BackendView {
        if (spec == null || hint == null) {
            throw new IllegalArgumentException("view of a backend server needs a spec and a hint");
        }
        if (hintAgeMillis < 0 || inFlight < 0 || distanceMillis < 0) {
            throw new IllegalArgumentException("view of " + spec.id() + " has a negative value");
        }
    }

    /** Returns the backend server's id. */
    public BackendId id() {
        return spec.id();
    }

    /** Returns whether new work may be placed there at all. */
    public boolean usable() {
        return !excluded && !spec.leaving();
    }

    /** Returns whether it is suspected or reported to be unreachable. */
    public boolean possiblyUnreachable() {
        return suspected || hint.map(summary -> !summary.reachable()).orElse(false);
    }

    /** Returns the wait for free capacity as of the hint, less the hint's age. */
    long hintedWaitMillis() {
        return hint.map(summary -> Math.max(0, summary.freeInMillis() - hintAgeMillis)).orElse(0L);
    }

    /** Returns the estimated share of slots in use, from 0 to 1. */
    double load() {
        double used = hint.map(summary -> spec.slots() - summary.freeSlots()).orElse(inFlight);
        return Math.min(1, Math.max(0, used / spec.slots()));
    }
}
