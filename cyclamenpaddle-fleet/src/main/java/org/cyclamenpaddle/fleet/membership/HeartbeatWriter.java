package org.cyclamenpaddle.fleet.membership;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.apache.commons.rng.UniformRandomProvider;
import org.cyclamenpaddle.core.message.Heartbeat;
import org.cyclamenpaddle.core.message.HostRecord;
import org.cyclamenpaddle.core.message.HostState;
import org.cyclamenpaddle.fleet.membership.MembershipEffect.SendTo;

/** Composes this host's heartbeats. */
final class HeartbeatWriter {

    private static final Comparator<HostRecord> BY_NAME = Comparator.comparing(MemberView::id);

    private final MemberView mView;
    private final MembershipSettings mSettings;
    private final HeartbeatSource mSource;
    private final UniformRandomProvider mRandom;
    private long mSequence;

    HeartbeatWriter(
            MemberView view,
            MembershipSettings settings,
            HeartbeatSource source,
            UniformRandomProvider random) {
        mView = view;
        mSettings = settings;
        mSource = source;
        mRandom = random;
    }

    /** Returns the heartbeats that are due at each interval. */
    List<MembershipEffect> regular(long nowMillis) {
        Set<HostRecord> targets = new HashSet<>(mView.watchers());
        gossipPartner().ifPresent(targets::add);
        Heartbeat heartbeat = heartbeat(gossip(nowMillis));
        return targets.stream()
                .sorted(BY_NAME)
                .map(host -> new SendTo(host, heartbeat))
                .collect(Collectors.toList());
    }

    /** Returns one heartbeat for each target, all with the same records. */
    List<MembershipEffect> to(List<HostRecord> targets, List<HostRecord> records) {
        if (targets.isEmpty()) {
            return List.of();
        }
        Heartbeat heartbeat = heartbeat(records);
        return targets.stream()
                .map(host -> new SendTo(host, heartbeat))
                .collect(Collectors.toList());
    }

    /** Returns a heartbeat that tells a host all that this one knows. */
    SendTo introduction(HostRecord to) {
        return new SendTo(to, heartbeat(mView.table().records(member -> true)));
    }

    private Optional<HostRecord> gossipPartner() {
        List<HostRecord> usable = mView.table().records(Member::usable);
        return usable.isEmpty()
                ? Optional.empty()
                : Optional.of(usable.get(mRandom.nextInt(usable.size())));
    }

    private List<HostRecord> gossip(long nowMillis) {
        MemberTable table = mView.table();
        Set<HostRecord> records =
                new HashSet<>(
                        table.records(
                                m ->
                                        nowMillis - m.changedMillis()
                                                < mSettings.recentChangeMillis()));
        records.addAll(table.inTurn(mSettings.gossipRecords(), member -> true));
        return records.stream()
                .filter(record -> record.state() != HostState.SUSPECT)
                .sorted(BY_NAME)
                .collect(Collectors.toList());
    }

    private Heartbeat heartbeat(List<HostRecord> records) {
        mSequence++;
        return new Heartbeat(
                mView.self(),
                mSequence,
                mSource.configurationDigest(),
                mSource.inForceVersion(),
                records,
                mSource.ledgers());
    }
}
