package org.cyclamenpaddle.core.message;

import org.cyclamenpaddle.core.id.ServiceName;

/**
 * Asks the host that claimed a key what became of its call.
 *
 * @param service the plain service
 * @param key the caller's Idempotency-Key
 */
public record ClaimRequest(ServiceName service, String key) implements PeerMessage {}
