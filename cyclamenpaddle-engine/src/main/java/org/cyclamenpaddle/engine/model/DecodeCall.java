package org.cyclamenpaddle.engine.model;

import org.cyclamenpaddle.core.id.AttemptId;

/**
 * Asks an engine to import KV cache and generate tokens.
 *
 * @param attempt identity of the try
 * @param source where the KV cache is
 * @param firstIndex index of the first token to generate, not negative
 * @param maxTokens index after the last token to generate at most
 * @param priority greater goes first
 * @param transferMillis longest time for the transfer, in milliseconds
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
            throw new IllegalArgumentException("decode call lacks attempt or source");
        }
        if (firstIndex < 0) {
            throw new IllegalArgumentException("first index " + firstIndex + " is negative");
        }
    }
}
