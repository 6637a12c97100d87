package org.cyclamenpaddle.core.message;

import org.cyclamenpaddle.core.id.ServiceName;

/**
 * Queries the outcome of a call from the host that claimed its idempotency key.
 *
 * @param service the plain service
 * @param key the caller's Idempotency-Key
 */
public record ClaimRequest(ServiceName service, String key) implements PeerMessage {}
