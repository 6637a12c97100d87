package org.cyclamenpaddle.router.request;

import org.cyclamenpaddle.core.id.RequestId;
import org.cyclamenpaddle.router.explain.DecisionStep;

/** Records the decisions made for a request, so that operators can query them. */
@FunctionalInterface
public interface StepRecorder {

    /**
     * Records one step.
     *
     * @param request the request
     * @param step step at which the decision was made
     * @param detail backend server, attempt or reason of the decision
     */
    void record(RequestId request, DecisionStep step, String detail);
}
