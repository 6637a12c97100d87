package org.cyclamenpaddle.engine.model;

import org.cyclamenpaddle.core.id.AttemptId;

/**
 * An attempt as an engine lists it.
 *
 * @param attempt its identity
 * @param role what the engine does for it, as the engine names it
 * @param pieces memory pieces that it holds
 * @param nextIndex index of the next token
 * @param ended whether it has ended
 */
public record EngineAttempt(
        AttemptId attempt, String role, int pieces, int nextIndex, boolean ended) {}
