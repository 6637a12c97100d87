package org.cyclamenpaddle.engine.model;

import org.cyclamenpaddle.core.id.AttemptId;

/**
 * A computed prefill, which the engine holds for a while.
 *
 * @param attempt the attempt it belongs to
 * @param tokens length of the prompt with prior tokens
 * @param cachedTokens how many of them came from the prefix cache
 * @param pieces memory pieces that it holds
 * @param resultMillis how long it lives unless exported or cancelled, in milliseconds from now
 */
public record PrefillResult(
        AttemptId attempt, int tokens, int cachedTokens, int pieces, long resultMillis) {}
