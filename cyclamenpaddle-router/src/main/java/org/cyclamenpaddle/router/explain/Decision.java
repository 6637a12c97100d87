package org.cyclamenpaddle.router.explain;

/**
 * One decision made for a request.
 *
 * @param afterMillis milliseconds since the first decision for the request
 * @param step step at which the decision was made
 * @param text what was decided, with the figures it was based on; never contains text of a prompt
 *     or body
 */
public record Decision(long afterMillis, DecisionStep step, String text) {

    public Decision {
        if (afterMillis < 0 || step == null || text == null) {
            throw new IllegalArgumentException(
                    "decision needs a non-negative time, a step and a text, got "
                            + afterMillis
                            + " ms, step "
                            + step);
        }
    }
}
