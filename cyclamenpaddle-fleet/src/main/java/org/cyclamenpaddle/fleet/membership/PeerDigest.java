package org.cyclamenpaddle.fleet.membership;

/**
 * State of a peer's configuration replica, from its latest heartbeat.
 *
 * @param configurationDigest digest of its replica
 * @param inForceVersion version of the object that names the preset in force; 0 if none
 * @param heardMillis reading of this host's clock when the heartbeat arrived
 */
public record PeerDigest(long configurationDigest, long inForceVersion, long heardMillis) {}
