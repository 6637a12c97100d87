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
 * Status of the fleet as seen by one host.
 *
 * @param reporter the host that reports
 * @param presetInForce preset in force on the reporting host
 * @param inForceVersion version of the object that selects that preset; 0 if none
 * @param platformReachable whether the platform responded recently
 * @param hosts all known entry hosts, including the reporting one
 * @param backends all declared backend servers
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
            throw new IllegalArgumentException("status report has a null component: " + reporter);
        }
        hosts = List.copyOf(hosts);
        backends = List.copyOf(backends);
        refusals = Map.copyOf(refusals);
        retries = Map.copyOf(retries);
    }

    /** Returns the number of live hosts, which are expected to accept new work. */
    public long hostsAlive() {
        return hosts.stream().filter(host -> host.state() == HostState.ALIVE).count();
    }

    /**
     * Returns the number of live hosts with the same preset selection in force as the reporting
     * host.
     */
    public long hostsInForce() {
        return hosts.stream()
                .filter(host -> host.state() == HostState.ALIVE)
                .filter(host -> inForceVersion > 0 && host.inForceVersion() == inForceVersion)
                .count();
    }
}
