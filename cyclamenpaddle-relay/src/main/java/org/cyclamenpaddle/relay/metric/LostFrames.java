package org.cyclamenpaddle.relay.metric;

import org.cyclamenpaddle.peer.codec.FrameError;
import org.cyclamenpaddle.peer.net.PeerCounters;

/** Counts frames between hosts that were rejected or dropped. */
public final class LostFrames implements PeerCounters {

    private enum Connection {
        SILENT_CONNECTION
    }

    private final RelayMetrics mMetrics;

    /** Creates counters that add to {@code metrics}. */
    public LostFrames(RelayMetrics metrics) {
        mMetrics = metrics;
    }

    @Override
    public void frameReceived(int bytes) {
        // Only lost frames are counted.
    }

    @Override
    public void frameSent(int bytes) {
        // Only lost frames are counted.
    }

    @Override
    public void frameRejected(FrameError error) {
        mMetrics.recordLostFrame(error);
    }

    @Override
    public void frameDropped(DropReason reason) {
        mMetrics.recordLostFrame(reason);
    }

    @Override
    public void silentConnectionReplaced() {
        mMetrics.recordLostFrame(Connection.SILENT_CONNECTION);
    }
}
