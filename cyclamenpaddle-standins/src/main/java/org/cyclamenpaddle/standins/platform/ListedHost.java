package org.cyclamenpaddle.standins.platform;

/**
 * Entry of the platform's host list.
 *
 * @param host host name
 * @param address IP address
 * @param peerPort TCP port for peers
 * @param httpPort TCP port for callers
 * @param domain failure domain
 * @param state {@code live} or {@code leaving}
 */
public record ListedHost(
        String host, String address, int peerPort, int httpPort, String domain, String state) {}
