package org.cyclamenpaddle.router.peering;

import org.cyclamenpaddle.peer.codec.FrameError;
import org.cyclamenpaddle.peer.net.PeerCounters;
import org.cyclamenpaddle.router.event.EventLog;
import org.cyclamenpaddle.router.event.LogEvent;
import org.cyclamenpaddle.router.metric.RouterMetrics;

/** Counts peer traffic in the metrics. */
public final class PeerMetrics implements PeerCounters {

    private final RouterMetrics mMetrics;
    private final EventLog mLog;

    /**
     * Creates the counters.
     *
     * @param metrics where traffic is counted
     * @param log where refused frames are told
     */
    public PeerMetrics(RouterMetrics metrics, EventLog log) {
        mMetrics = metrics;
        mLog = log;
    }

    @Override
    public void frameReceived(int bytes) {
        mMetrics.peerBytesIn(bytes);
    }

    @Override
    public void frameSent(int bytes) {
        mMetrics.peerBytesOut(bytes);
    }

    @Override
    public void frameRejected(FrameError error) {
        mMetrics.badPeerFrame(error.name());
        mLog.log(LogEvent.BAD_PEER_FRAME, "unknown", error);
    }

    @Override
    public void frameDropped(DropReason reason) {
        mMetrics.peerFrameDropped(reason.name());
    }

    @Override
    public void silentConnectionReplaced() {
        mMetrics.peerFrameDropped("SILENT_CONNECTION");
    }
}
