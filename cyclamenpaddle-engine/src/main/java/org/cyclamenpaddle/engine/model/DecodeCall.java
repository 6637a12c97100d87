package org.cyclamenpaddle.engine.model;

import org.cyclamenpaddle.core.id.AttemptId;

/**
 * A request to an engine to import KV cache and generate tokens.
 *
 * @param attempt identity of the attempt
 * @param source where the KV cache is
 * @param firstIndex index of the first token to generate, not negative
 * @param maxTokens upper bound of the token index, exclusive
 * @param priority priority; greater values first
 * @param transferMillis timeout of the transfer, in milliseconds
 */
public record DecodeCall(
        AttemptId attempt,
        PrefillSource source,
        int firstIndex,
        int maxTokens,
        int priority,
        long transferMillis) {
    public DecodeCall {
        if (attempt == null || source == null) {
            throw new IllegalArgumentException("decode call must have an attempt and a source");
        }
        if (firstIndex < 0) {
            throw new IllegalArgumentException(
                    "first index " + firstIndex + " must not be negative");
        }
    }
}
