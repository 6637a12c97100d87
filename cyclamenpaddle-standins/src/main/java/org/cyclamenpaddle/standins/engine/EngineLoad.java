package org.cyclamenpaddle.standins.engine;

/**
 * Load report of an engine.
 *
 * @param slots decode slots
 * @param slotsUsed decode slots in use
 * @param pieces number of KV cache blocks
 * @param piecesUsed number of KV cache blocks in use
 * @param queuedTokens uncached prompt tokens queued for prefill or being prefilled
 */
public record EngineLoad(int slots, int slotsUsed, int pieces, int piecesUsed, long queuedTokens) {}
