package org.cyclamenpaddle.core.message;

/**
 * Requests an indirect probe: the receiver opens a new connection to a silent host on the sender's
 * behalf.
 *
 * @param target the silent host
 */
public record ProbeRequest(HostRecord target) implements PeerMessage {}
