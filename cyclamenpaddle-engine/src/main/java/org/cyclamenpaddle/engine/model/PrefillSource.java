package org.cyclamenpaddle.engine.model;

import org.cyclamenpaddle.core.id.AttemptId;

/**
 * Where a decode engine fetches KV cache.
 *
 * @param address IP number of the prefill engine
 * @param port its TCP port
 * @param attempt the prefill attempt there
 */
public record PrefillSource(String address, int port, AttemptId attempt) {}
