package org.cyclamenpaddle.core.message;

/**
 * Asks the receiver to try a new connection to a silent host on the sender's behalf.
 *
 * @param target the silent host
 */
public record ProbeRequest(HostRecord target) implements PeerMessage {}
