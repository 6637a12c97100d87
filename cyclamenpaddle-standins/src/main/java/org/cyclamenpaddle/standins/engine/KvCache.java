package org.cyclamenpaddle.standins.engine;

/**
 * Exported prefill result: what the modelled KV cache stands for.
 *
 * @param hash hash of the prompt
 * @param tokens tokens of prompt and prior answer
 * @param bytes size of the modelled KV cache
 * @param crashes whether decoding it crashes the engine
 */
record KvCache(long hash, int tokens, long bytes, boolean crashes) {}
