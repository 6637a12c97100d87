package org.cyclamenpaddle.relay.settings;

/**
 * An IP number with a TCP port.
 *
 * @param address IP number
 * @param port TCP port, 0 for any free one
 */
public record Endpoint(String address, int port) {

    private static final int MAX_PORT = 65_535;

    public Endpoint {
        if (address == null || !address.matches("[0-9.]+") || port < 0 || port > MAX_PORT) {
            throw new IllegalArgumentException(
                    "'" + address + ":" + port + "' is no IP number with a port");
        }
    }

    /**
     * Reads an endpoint.
     *
     * @param text such as {@code 10.1.0.38:8149}
     */
    public static Endpoint of(String text) {
        int colon = text.lastIndexOf(':');
        try {
            return new Endpoint(
                    text.substring(0, Math.max(0, colon)),
                    Integer.parseInt(text.substring(colon + 1)));
        } catch (NumberFormatException malformed) {
            throw new IllegalArgumentException(
                    "'" + text + "' is no IP number with a port", malformed);
        }
    }

    @Override
    public String toString() {
        return address + ":" + port;
    }
}
