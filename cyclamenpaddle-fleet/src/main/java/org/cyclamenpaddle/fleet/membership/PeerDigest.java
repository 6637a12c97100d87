package org.cyclamenpaddle.fleet.membership;

/**
 * What a peer's latest heartbeat said of its configuration replica.
 *
 * @param configurationDigest digest of its replica
 * @param inForceVersion version of the object that names the preset in force; 0 if none
 * @param heardMillis reading of this host's clock when it was heard
 */
public record PeerDigest(long configurationDigest, long inForceVersion, long heardMillis) {}
