package org.cyclamenpaddle.peer.net;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.cyclamenpaddle.peer.codec.FrameError;

/** Records the rejected and dropped frames and the replaced connections, in order. */
final class RecordingPeerCounters implements PeerCounters {

    private static final long TIMEOUT_SECONDS = 20;

    private final BlockingQueue<String> mRecorded = new LinkedBlockingQueue<>();

    @Override
    public void frameReceived(int bytes) {}

    @Override
    public void frameSent(int bytes) {}

    @Override
    public void frameRejected(FrameError error) {
        mRecorded.add("rejected " + error);
    }

    @Override
    public void frameDropped(DropReason reason) {
        mRecorded.add("dropped " + reason);
    }

    @Override
    public void silentConnectionReplaced() {
        mRecorded.add("replaced");
    }

    /** Returns whether there is no record left. */
    boolean isEmpty() {
        return mRecorded.isEmpty();
    }

    String next() throws InterruptedException {
        return String.valueOf(mRecorded.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS));
    }
}
