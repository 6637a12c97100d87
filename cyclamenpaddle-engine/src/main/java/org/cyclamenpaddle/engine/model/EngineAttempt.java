package org.cyclamenpaddle.engine.model;

import org.cyclamenpaddle.core.id.AttemptId;

/**
 * An attempt as reported by an engine.
 *
 * @param attempt its identity
 * @param role role of the engine for the attempt, in the engine's terms
 * @param pieces number of KV cache blocks that it holds
 * @param nextIndex index of the next token to generate
 * @param ended whether it has ended
 */
public record EngineAttempt(
        AttemptId attempt, String role, int pieces, int nextIndex, boolean ended) {}
