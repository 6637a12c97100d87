package org.cyclamenpaddle.routing.placement;

/**
 * A candidate with the values that policies compare.
 *
 * @param view view of the backend server
 * @param candidate its prediction
 */
record Scored(BackendView view, Candidate candidate) {

    /**
     * Additional cost of a fully loaded server over an idle one: a larger batch decodes each token
     * more slowly.
     */
    private static final double FULL_LOAD_COST_MILLIS = 20;

    double cost() {
        return candidate.predictedMillis() + FULL_LOAD_COST_MILLIS * view.load();
    }

    double load() {
        return view.load();
    }

    long waitMillis() {
        return view.hintedWaitMillis();
    }
}
