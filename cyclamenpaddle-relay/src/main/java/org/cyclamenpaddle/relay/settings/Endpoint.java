package org.cyclamenpaddle.relay.settings;

/**
 * IPv4 address with a TCP port.
 *
 * @param address IPv4 address
 * @param port TCP port; 0 for an ephemeral port
 */
public record Endpoint(String address, int port) {

    private static final int MAX_PORT = 65_535;

    public Endpoint {
        if (address == null || !address.matches("[0-9.]+") || port < 0 || port > MAX_PORT) {
            throw new IllegalArgumentException(
                    "'" + address + ":" + port + "' is not an IP number with a port");
        }
    }

    /**
     * Parses an endpoint.
     *
     * @param text address and port, such as {@code 10.1.0.38:8149}
     */
    public static Endpoint of(String text) {
        int colon = text.lastIndexOf(':');
        try {
            return new Endpoint(
                    text.substring(0, Math.max(0, colon)),
                    Integer.parseInt(text.substring(colon + 1)));
        } catch (NumberFormatException malformed) {
            throw new IllegalArgumentException(
                    "'" + text + "' is not an IP number with a port", malformed);
        }
    }

    @Override
    public String toString() {
        return address + ":" + port;
    }
}
