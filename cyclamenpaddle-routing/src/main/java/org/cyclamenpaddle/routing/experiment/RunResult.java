package org.cyclamenpaddle.routing.experiment;

/**
 * What one run measured.
 *
 * @param arrived requests that arrived after the warm-up
 * @param good requests served within both targets
 * @param late requests served, but not within both targets
 * @param refused requests refused before any prefill
 * @param lost requests given up after their prefill was begun or queued
 * @param fullAnswers refusals of full decode engines
 * @param capacity requests that the decode servers could take in the same time
 * @param wastedShare share of the computed prefill tokens that were never used
 */
record RunResult(
        long arrived,
        long good,
        long late,
        long refused,
        long lost,
        long fullAnswers,
        double capacity,
        double wastedShare) {

    double goodput() {
        return good / capacity;
    }
}
