package org.cyclamenpaddle.router.operator;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cyclamenpaddle.core.id.HostId;
import org.cyclamenpaddle.core.id.PresetName;
import org.cyclamenpaddle.core.message.HostState;
import org.cyclamenpaddle.core.outcome.RefusalReason;
import org.cyclamenpaddle.core.outcome.RetryReason;

/**
 * The fleet as one host sees it.
 *
 * @param reporter the host that reports
 * @param presetInForce preset in force on the reporting host
 * @param inForceVersion version of the object that names it; 0 if none
 * @param platformReachable whether the platform answered lately
 * @param hosts every known entry host, the reporting one too
 * @param backends every declared backend server
 * @param refusals refusals of the reporting host since its start, by reason
 * @param retries retries of the reporting host since its start, by reason
 */
public record StatusReport(
        HostId reporter,
        Optional<PresetName> presetInForce,
        long inForceVersion,
        boolean platformReachable,
        List<HostStatus> hosts,
        List<BackendStatus> backends,
        Map<RefusalReason, Long> refusals,
        Map<RetryReason, Long> retries) {

    public StatusReport {
        if (reporter == null || presetInForce == null) {
            throw new IllegalArgumentException("status report lacks a part: " + reporter);
        }
        hosts = List.copyOf(hosts);
        backends = List.copyOf(backends);
        refusals = Map.copyOf(refusals);
        retries = Map.copyOf(retries);
    }

    /** Returns the hosts that are expected to take new work. */
    public long hostsAlive() {
        return hosts.stream().filter(host -> host.state() == HostState.ALIVE).count();
    }

    /** Returns the live hosts on which the same choice of preset is in force as here. */
    public long hostsInForce() {
        return hosts.stream()
                .filter(host -> host.state() == HostState.ALIVE)
                .filter(host -> inForceVersion > 0 && host.inForceVersion() == inForceVersion)
                .count();
    }
}
