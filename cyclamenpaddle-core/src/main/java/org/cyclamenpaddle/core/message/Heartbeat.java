package org.cyclamenpaddle.core.message;

import java.util.List;

/**
 * Liveness message sent at a fixed interval to the hosts that watch the sender.
 *
 * @param sender the sender's own record
 * @param sequence increases by one with each heartbeat of this incarnation
 * @param configurationDigest digest of the sender's configuration replica
 * @param inForceVersion version of the object that names the preset in force; 0 if none
 * @param hosts recently changed records, and a few others in rotation
 * @param ledgers summaries of ledgers that the sender owns
 */
public record Heartbeat(
        HostRecord sender,
        long sequence,
        long configurationDigest,
        long inForceVersion,
        List<HostRecord> hosts,
        List<LedgerSummary> ledgers)
        implements PeerMessage {

    public Heartbeat {
        hosts = List.copyOf(hosts);
        ledgers = List.copyOf(ledgers);
    }
}
