package org.cyclamenpaddle.core.message;

import org.cyclamenpaddle.core.id.Incarnation;

/**
 * Answer to {@link ProbeRequest}.
 *
 * @param target the host that was tried
 * @param reachable whether it answered on a new connection
 */
public record ProbeResponse(Incarnation target, boolean reachable) implements PeerMessage {}
