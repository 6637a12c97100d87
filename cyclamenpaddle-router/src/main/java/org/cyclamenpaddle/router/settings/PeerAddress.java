package org.cyclamenpaddle.router.settings;

import java.util.Optional;

/**
 * Address on which another entry host listens for its peers.
 *
 * @param address literal IP address, without brackets
 * @param port TCP port, 1 to 65535
 */
public record PeerAddress(String address, int port) {

    private static final int MAX_PORT = 65_535;

    public PeerAddress {
        if (address == null || !IpAddresses.isValid(address)) {
            throw new IllegalArgumentException("peer address '" + address + "' is no IP number");
        }
        if (port < 1 || port > MAX_PORT) {
            throw new IllegalArgumentException("peer port " + port + " out of range");
        }
    }

    /**
     * Parses an address such as {@code 127.0.0.1:7201} or {@code [::1]:7201}; empty if {@code text}
     * is malformed.
     */
    public static Optional<PeerAddress> parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0) {
            return Optional.empty();
        }
        String address = text.substring(0, colon).replaceAll("^\\[(.*)]$", "$1");
        try {
            return Optional.of(
                    new PeerAddress(address, Integer.parseInt(text.substring(colon + 1))));
        } catch (IllegalArgumentException malformed) {
            return Optional.empty();
        }
    }

    @Override
    public String toString() {
        return address.indexOf(':') < 0 ? address + ":" + port : "[" + address + "]:" + port;
    }
}
