package org.cyclamenpaddle.standins.engine;

/**
 * Exported prefill result, which represents the KV cache of a prompt.
 *
 * @param hash hash of the prompt
 * @param tokens tokens of the prompt and of the prior part of the completion
 * @param bytes size of the simulated KV cache
 * @param crashes whether decoding it crashes the engine
 */
record KvCache(long hash, int tokens, long bytes, boolean crashes) {}
