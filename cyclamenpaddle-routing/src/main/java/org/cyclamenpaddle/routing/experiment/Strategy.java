package org.cyclamenpaddle.routing.experiment;

import org.cyclamenpaddle.routing.placement.PlacementPolicy;

/** Compared placement strategies. */
enum Strategy {
    /** A ledger with timed grants for each backend server. */
    LEDGER(PlacementPolicy.TIMED_GRANTS),
    /** Each host has a fixed share of every decode server's slots. */
    SPLIT_SLOTS(PlacementPolicy.TIMED_GRANTS),
    /** No ledger; the less loaded of two random servers, by lagged load. */
    TWO_RANDOM(PlacementPolicy.TWO_RANDOM_CHOICES),
    /** No ledger; the least loaded server, by lagged load. */
    LEAST_LOAD(PlacementPolicy.LEAST_REPORTED_LOAD),
    /** No ledger; round robin. */
    ROUND_ROBIN(PlacementPolicy.ROUND_ROBIN);

    private final PlacementPolicy mPolicy;

    Strategy(PlacementPolicy policy) {
        mPolicy = policy;
    }

    PlacementPolicy policy() {
        return mPolicy;
    }

    boolean usesOwners() {
        return this == LEDGER;
    }

    boolean reservesDecode() {
        return this == LEDGER || this == SPLIT_SLOTS;
    }
}
