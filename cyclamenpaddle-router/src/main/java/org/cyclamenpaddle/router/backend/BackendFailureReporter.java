package org.cyclamenpaddle.router.backend;

import java.util.List;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.message.StrikeNotice;
import org.cyclamenpaddle.core.time.Clock;
import org.cyclamenpaddle.router.blackboard.Blackboard;
import org.cyclamenpaddle.router.event.EventLog;
import org.cyclamenpaddle.router.event.LogEvent;
import org.cyclamenpaddle.router.grant.HostView;
import org.cyclamenpaddle.router.grant.PeerLink;
import org.cyclamenpaddle.router.request.BackendFailureListener;

/**
 * Ranks failed backend servers last, records strikes, and broadcasts the strikes to all live hosts.
 */
public final class BackendFailureReporter implements BackendFailureListener {

    private final Blackboard mBlackboard;
    private final HostView mHosts;
    private final PeerLink mPeers;
    private final Clock mClock;
    private final EventLog mLog;

    /**
     * Creates a reporter.
     *
     * @param blackboard tables of this host
     * @param hosts hosts to notify
     * @param peers sends messages to other hosts
     * @param clock time in milliseconds
     * @param log events
     */
    public BackendFailureReporter(
            Blackboard blackboard, HostView hosts, PeerLink peers, Clock clock, EventLog log) {
        mBlackboard = blackboard;
        mHosts = hosts;
        mPeers = peers;
        mClock = clock;
        mLog = log;
    }

    @Override
    public void onUnreachable(BackendId backend, long now) {
        mBlackboard.backends().write(table -> table.suspect(backend, now));
    }

    @Override
    public void onCrash(BackendId backend, long fingerprint, long now) {
        List<StrikeNotice> notices =
                mBlackboard
                        .quarantine()
                        .read(table -> table.onBackendCrashed(backend, List.of(fingerprint), now));
        notices.forEach(this::broadcast);
        notices.forEach(notice -> logStrike(notice, backend));
    }

    /** Notifies every host immediately, since a resent request may arrive at any of them. */
    private void broadcast(StrikeNotice notice) {
        mHosts.alive().stream()
                .filter(host -> !host.incarnation().equals(mHosts.self().incarnation()))
                .forEach(host -> mPeers.send(host, notice));
    }

    private void logStrike(StrikeNotice notice, BackendId backend) {
        mLog.log(
                LogEvent.QUARANTINE_STRIKE,
                Long.toHexString(notice.fingerprint()),
                backend,
                notice.crashedBackends().size());
        mBlackboard
                .quarantine()
                .read(table -> table.quarantinedMillis(notice.fingerprint(), mClock.millis()))
                .ifPresent(
                        millis ->
                                mLog.log(
                                        LogEvent.QUARANTINE_ENTERED,
                                        Long.toHexString(notice.fingerprint()),
                                        millis));
    }
}
