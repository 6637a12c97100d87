package org.cyclamenpaddle.router.request;

import org.cyclamenpaddle.core.id.RequestId;

/** Keeps what was decided for a request, for operators to ask for. */
@FunctionalInterface
public interface StepRecorder {

    /**
     * Records one step.
     *
     * @param request the request
     * @param step what happened, one or two words
     * @param detail with which backend server, attempt or reason
     */
    void record(RequestId request, String step, String detail);
}
