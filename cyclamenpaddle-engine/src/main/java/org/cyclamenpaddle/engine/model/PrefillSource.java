package org.cyclamenpaddle.engine.model;

import org.cyclamenpaddle.core.id.AttemptId;

/**
 * Location from which a decode engine fetches KV cache.
 *
 * @param address IP address of the prefill engine
 * @param port its TCP port
 * @param attempt the prefill attempt there
 */
public record PrefillSource(String address, int port, AttemptId attempt) {}
