package org.cyclamenpaddle.core.message;

/**
 * First message on a connection, both ways.
 *
 * @param sender who opened or accepted the connection
 */
public record Hello(HostRecord sender) implements PeerMessage {}
