package org.cyclamenpaddle.fleet.claim;

/**
 * One change of a shard that a host wants and that is not yet known to be kept.
 *
 * @param claim the claim that this host makes or made
 * @param target {@link ClaimState#CLAIMED} to make the claim, else the outcome to record
 * @param sent whether a write that carried the claim may still take effect
 */
record ClaimIntent(ClaimRecord claim, ClaimState target, boolean sent) {

    boolean makesClaim() {
        return target == ClaimState.CLAIMED;
    }

    /** Returns whether somebody waits for it: a caller, or the next attempt on a freed key. */
    boolean urgent() {
        return makesClaim() || target.releasesKey();
    }

    ClaimIntent asSent() {
        return new ClaimIntent(claim, target, true);
    }

    /** Returns the intent to free the key in place of claiming it. */
    ClaimIntent released() {
        return new ClaimIntent(claim, ClaimState.NOT_RUN, sent);
    }
}
