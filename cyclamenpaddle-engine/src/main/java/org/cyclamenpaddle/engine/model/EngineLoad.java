package org.cyclamenpaddle.engine.model;

/**
 * Load as an engine reports it, with a lag.
 *
 * @param slots decode slots
 * @param slotsUsed those in use
 * @param pieces memory pieces
 * @param piecesUsed those in use
 * @param queuedTokens tokens that wait for prefill
 */
public record EngineLoad(int slots, int slotsUsed, int pieces, int piecesUsed, long queuedTokens) {}
