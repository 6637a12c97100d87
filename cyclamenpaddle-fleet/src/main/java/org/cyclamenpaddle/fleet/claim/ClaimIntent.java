package org.cyclamenpaddle.fleet.claim;

/**
 * Pending change of a shard by this host that is not yet known to be stored.
 *
 * @param claim the claim of this host
 * @param target {@link ClaimState#CLAIMED} to create the claim, otherwise the outcome to record
 * @param sent whether a write that carried the claim may still take effect
 */
record ClaimIntent(ClaimRecord claim, ClaimState target, boolean sent) {

    boolean makesClaim() {
        return target == ClaimState.CLAIMED;
    }

    /**
     * Returns whether the change must be written without delay: a caller, or the next attempt on a
     * released key, waits for it.
     */
    boolean urgent() {
        return makesClaim() || target.releasesKey();
    }

    ClaimIntent asSent() {
        return new ClaimIntent(claim, target, true);
    }

    /** Returns an intent that releases the key instead of claiming it. */
    ClaimIntent released() {
        return new ClaimIntent(claim, ClaimState.NOT_RUN, sent);
    }
}
