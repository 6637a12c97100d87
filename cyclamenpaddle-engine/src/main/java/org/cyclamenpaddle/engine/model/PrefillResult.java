package org.cyclamenpaddle.engine.model;

import org.cyclamenpaddle.core.id.AttemptId;

/**
 * A completed prefill, whose KV cache the engine retains for a limited time.
 *
 * @param attempt the attempt that it belongs to
 * @param tokens number of tokens of the prompt, including prior tokens
 * @param cachedTokens how many of them were in the prefix cache
 * @param pieces number of KV cache blocks that it holds
 * @param resultMillis how long it is retained unless exported or cancelled, in milliseconds from
 *     now
 */
public record PrefillResult(
        AttemptId attempt, int tokens, int cachedTokens, int pieces, long resultMillis) {}
