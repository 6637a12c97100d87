package org.cyclamenpaddle.routing.placement;

import java.util.Optional;
import org.cyclamenpaddle.core.config.BackendSpec;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.message.LedgerSummary;

/**
 * What one host knows of a backend server when it places a request.
 *
 * @param spec the declaration
 * @param hint what the ledger's owner told last; empty if nothing was heard
 * @param hintAgeMillis age of the hint
 * @param inFlight attempts that this host itself has on the backend server
 * @param excluded whether the request may not run there, such as by quarantine
 * @param suspected whether it is suspected to be unreachable
 * @param distanceMillis one-way time to its failure domain
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
            throw new IllegalArgumentException("view of a backend server lacks spec or hint");
        }
        if (hintAgeMillis < 0 || inFlight < 0 || distanceMillis < 0) {
            throw new IllegalArgumentException("view of " + spec.id() + " has a negative value");
        }
    }

    /** Returns the backend server's name. */
    public BackendId id() {
        return spec.id();
    }

    /** Returns whether new work may be placed there at all. */
    public boolean usable() {
        return !excluded && !spec.leaving();
    }

    /** Returns whether it is doubtful that it can be reached. */
    public boolean doubtful() {
        return suspected || hint.map(told -> !told.reachable()).orElse(false);
    }

    /** Returns the hinted wait until there is room, less the hint's age. */
    long hintedWaitMillis() {
        return hint.map(told -> Math.max(0, told.freeInMillis() - hintAgeMillis)).orElse(0L);
    }

    /** Returns the believed share of slots in use, from 0 to 1. */
    double load() {
        double used = hint.map(told -> spec.slots() - told.freeSlots()).orElse(inFlight);
        return Math.min(1, Math.max(0, used / spec.slots()));
    }
}
