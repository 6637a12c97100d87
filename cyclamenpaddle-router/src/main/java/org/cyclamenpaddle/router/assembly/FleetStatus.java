package org.cyclamenpaddle.router.assembly;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.cyclamenpaddle.core.config.Assignment;
import org.cyclamenpaddle.core.config.BackendSpec;
import org.cyclamenpaddle.core.config.ConfigurationView;
import org.cyclamenpaddle.core.id.HostId;
import org.cyclamenpaddle.core.message.HostRecord;
import org.cyclamenpaddle.core.message.LedgerSummary;
import org.cyclamenpaddle.core.time.Clock;
import org.cyclamenpaddle.fleet.membership.PeerDigest;
import org.cyclamenpaddle.router.blackboard.BackendTable;
import org.cyclamenpaddle.router.blackboard.Blackboard;
import org.cyclamenpaddle.router.blackboard.ConfigurationState;
import org.cyclamenpaddle.router.configuration.PlatformHealth;
import org.cyclamenpaddle.router.metric.RouterMetrics;
import org.cyclamenpaddle.router.operator.BackendStatus;
import org.cyclamenpaddle.router.operator.HostStatus;
import org.cyclamenpaddle.router.operator.StatusReport;
import org.cyclamenpaddle.router.operator.StatusSource;
import org.cyclamenpaddle.router.peering.MembershipDriver;

/** Reports the status of the fleet from this host's tables. */
final class FleetStatus implements StatusSource {

    private final Blackboard mBlackboard;
    private final MembershipDriver mMembership;
    private final PlatformHealth mHealth;
    private final RouterMetrics mMetrics;
    private final Clock mClock;

    FleetStatus(
            Blackboard blackboard,
            MembershipDriver membership,
            PlatformHealth health,
            RouterMetrics metrics,
            Clock clock) {
        mBlackboard = blackboard;
        mMembership = membership;
        mHealth = health;
        mMetrics = metrics;
        mClock = clock;
    }

    @Override
    public StatusReport report() {
        ConfigurationView view = mBlackboard.view();
        return new StatusReport(
                mMembership.self().incarnation().host(),
                view.inForce(),
                mBlackboard.configuration().read(ConfigurationState::inForceVersion),
                mHealth.reachable(),
                hosts(),
                backends(view),
                mMetrics.refusals(),
                mMetrics.retries());
    }

    private List<HostStatus> hosts() {
        long digest = mBlackboard.configuration().read(ConfigurationState::digest);
        long inForce = mBlackboard.configuration().read(ConfigurationState::inForceVersion);
        Map<HostId, PeerDigest> peers = mMembership.peerDigests();
        HostRecord self = mMembership.self();
        return mMembership.hosts().stream()
                .map(
                        host -> {
                            boolean own = host.incarnation().equals(self.incarnation());
                            Optional<PeerDigest> digestOfPeer =
                                    Optional.ofNullable(peers.get(host.incarnation().host()));
                            return new HostStatus(
                                    host.incarnation().host(),
                                    host.domain(),
                                    host.state(),
                                    own
                                            || digestOfPeer
                                                    .filter(d -> d.configurationDigest() == digest)
                                                    .isPresent(),
                                    own
                                            ? inForce
                                            : digestOfPeer
                                                    .map(PeerDigest::inForceVersion)
                                                    .orElse(0L));
                        })
                .sorted(Comparator.comparing(HostStatus::host))
                .collect(Collectors.toList());
    }

    private List<BackendStatus> backends(ConfigurationView view) {
        Map<?, Assignment> assignments = view.assignments();
        return view.backends().values().stream()
                .sorted(Comparator.comparing(BackendSpec::id))
                .map(spec -> backend(spec, Optional.ofNullable(assignments.get(spec.id()))))
                .collect(Collectors.toList());
    }

    private BackendStatus backend(BackendSpec spec, Optional<Assignment> assignment) {
        long now = mClock.millis();
        Optional<LedgerSummary> hint =
                mBlackboard.backends().read((BackendTable table) -> table.hint(spec.id()));
        boolean suspected = mBlackboard.backends().read(table -> table.suspected(spec.id(), now));
        int free = hint.map(LedgerSummary::freeSlots).orElse(spec.slots());
        boolean reachable = !suspected && hint.map(LedgerSummary::reachable).orElse(true);
        return new BackendStatus(
                spec.id(),
                spec.failureDomain(),
                assignment.map(Assignment::service),
                assignment.map(Assignment::role),
                mMembership.owner(spec).map(host -> host.incarnation().host()),
                reachable || spec.leaving(),
                spec.slots(),
                free,
                spec.leaving(),
                spec.leaving() && drained(spec));
    }

    private boolean drained(BackendSpec spec) {
        return mBlackboard
                .grants()
                .read(
                        ledgers ->
                                Optional.ofNullable(ledgers.get(spec.id()))
                                        .map(ledger -> ledger.attempts().isEmpty())
                                        .orElse(true));
    }
}
