package org.cyclamenpaddle.relay.host;

/**
 * A host that renews its registration.
 *
 * @param name name of the host
 * @param entry its latest registration
 */
public record LiveHost(String name, HostEntry entry) {}
