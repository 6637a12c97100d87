package org.cyclamenpaddle.engine.model;

import java.util.List;
import org.cyclamenpaddle.core.id.AttemptId;

/**
 * Asks an engine to prefill a prompt.
 *
 * @param attempt identity of the try
 * @param prompt the prompt
 * @param prior tokens already generated elsewhere, in order
 * @param priority greater goes first
 * @param timeoutMillis how long the result is of use, in milliseconds from now, above 0
 */
public record PrefillCall(
        AttemptId attempt, String prompt, List<String> prior, int priority, long timeoutMillis) {
    public PrefillCall {
        prior = List.copyOf(prior);
        if (attempt == null || prompt == null) {
            throw new IllegalArgumentException("prefill call lacks attempt or prompt");
        }
        if (timeoutMillis <= 0) {
            throw new IllegalArgumentException(
                    "prefill timeout " + timeoutMillis + " ms must be above 0");
        }
    }
}
