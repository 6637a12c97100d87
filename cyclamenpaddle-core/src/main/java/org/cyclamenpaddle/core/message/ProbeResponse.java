package org.cyclamenpaddle.core.message;

import org.cyclamenpaddle.core.id.Incarnation;

/**
 * Response to {@link ProbeRequest}.
 *
 * @param target the host that was probed
 * @param reachable whether it responded on a new connection
 */
public record ProbeResponse(Incarnation target, boolean reachable) implements PeerMessage {}
