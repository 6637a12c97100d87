package org.cyclamenpaddle.routing.experiment;

/**
 * Measurements of one run.
 *
 * @param arrived requests that arrived after the warm-up
 * @param good requests served within both targets
 * @param late requests served, but not within both targets
 * @param refused requests refused before any prefill
 * @param lost requests abandoned after their prefill was started or queued
 * @param fullResponses rejections by full decode engines
 * @param capacity requests that the decode servers could serve in the same time
 * @param wastedShare share of the computed prefill tokens that were never used
 */
record RunResult(
        long arrived,
        long good,
        long late,
        long refused,
        long lost,
        long fullResponses,
        double capacity,
        double wastedShare) {

    double goodput() {
        return good / capacity;
    }
}
