package org.cyclamenpaddle.router.explain;

/**
 * One decision.
 *
 * @param afterMillis milliseconds since the first decision for the request
 * @param step where in the way of the request
 * @param text what was decided and by which figures; never text of a prompt or body
 */
public record Decision(long afterMillis, DecisionStep step, String text) {

    public Decision {
        if (afterMillis < 0 || step == null || text == null) {
            throw new IllegalArgumentException(
                    "bad decision: after " + afterMillis + " ms, step " + step);
        }
    }
}
