package org.cyclamenpaddle.core.message;

import org.cyclamenpaddle.core.id.Incarnation;

/**
 * Answer to {@link ProbeAsk}.
 *
 * @param target the host that was tried
 * @param reachable whether it answered on a new connection
 */
public record ProbeAnswer(Incarnation target, boolean reachable) implements PeerMessage {}
