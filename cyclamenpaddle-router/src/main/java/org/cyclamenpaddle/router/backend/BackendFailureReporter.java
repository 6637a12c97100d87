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

/** Ranks lost backend servers last, gives strikes, and tells every live host of them. */
public final class BackendFailureReporter implements BackendFailureListener {

    private final Blackboard mBlackboard;
    private final HostView mHosts;
    private final PeerLink mPeers;
    private final Clock mClock;
    private final EventLog mLog;

    /**
     * Creates the notices.
     *
     * @param blackboard tables of this host
     * @param hosts whom to tell
     * @param peers how
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
        notices.forEach(this::tell);
        notices.forEach(notice -> logged(notice, backend));
    }

    /** Every host is told at once: the resend of a request may come in anywhere. */
    private void tell(StrikeNotice notice) {
        mHosts.alive().stream()
                .filter(host -> !host.incarnation().equals(mHosts.self().incarnation()))
                .forEach(host -> mPeers.send(host, notice));
    }

    private void logged(StrikeNotice notice, BackendId backend) {
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
