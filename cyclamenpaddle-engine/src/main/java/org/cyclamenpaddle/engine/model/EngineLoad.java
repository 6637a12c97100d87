package org.cyclamenpaddle.engine.model;

/**
 * Load as reported by an engine, with a lag.
 *
 * @param slots number of decode slots
 * @param slotsUsed number of decode slots in use
 * @param pieces number of KV cache blocks
 * @param piecesUsed number of KV cache blocks in use
 * @param queuedTokens number of tokens that wait for prefill
 */
public record EngineLoad(int slots, int slotsUsed, int pieces, int piecesUsed, long queuedTokens) {}
