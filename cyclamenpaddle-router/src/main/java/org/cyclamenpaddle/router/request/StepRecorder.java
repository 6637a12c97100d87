package org.cyclamenpaddle.router.request;

import org.cyclamenpaddle.core.id.RequestId;
import org.cyclamenpaddle.router.explain.DecisionStep;

/** Keeps what was decided for a request, for operators to ask for. */
@FunctionalInterface
public interface StepRecorder {

    /**
     * Records one step.
     *
     * @param request the request
     * @param step where in the way of the request
     * @param detail with which backend server, attempt or reason
     */
    void record(RequestId request, DecisionStep step, String detail);
}
