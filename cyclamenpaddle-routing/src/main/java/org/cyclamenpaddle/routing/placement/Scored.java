package org.cyclamenpaddle.routing.placement;

/**
 * A candidate with what policies compare.
 *
 * @param view what is known of the backend server
 * @param candidate the prediction for it
 */
record Scored(BackendView view, Candidate candidate) {

    /** Extra cost of a busy server over an idle one: a larger batch decodes each token slower. */
    private static final double FULL_LOAD_MILLIS = 20;

    double cost() {
        return candidate.predictedMillis() + FULL_LOAD_MILLIS * view.load();
    }

    double load() {
        return view.load();
    }

    long waitMillis() {
        return view.hintedWaitMillis();
    }
}
