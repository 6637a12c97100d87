package org.cyclamenpaddle.core.message;

/**
 * First message on a connection, sent in both directions.
 *
 * @param sender the host that opened or accepted the connection
 */
public record Hello(HostRecord sender) implements PeerMessage {}
