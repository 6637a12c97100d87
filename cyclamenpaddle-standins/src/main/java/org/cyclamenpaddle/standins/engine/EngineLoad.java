package org.cyclamenpaddle.standins.engine;

/**
 * Load as an engine reports it.
 *
 * @param slots decode slots
 * @param slotsUsed decode slots in use
 * @param pieces memory pieces
 * @param piecesUsed memory pieces in use
 * @param queuedTokens uncached prompt tokens waiting for prefill or in it
 */
public record EngineLoad(int slots, int slotsUsed, int pieces, int piecesUsed, long queuedTokens) {}
