package org.cyclamenpaddle.peer.net;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.cyclamenpaddle.peer.codec.FrameError;

/** Counters that keep what was refused, dropped and replaced, in order. */
final class CountingPeers implements PeerCounters {

    private static final long PATIENCE_SECONDS = 20;

    private final BlockingQueue<String> mCounted = new LinkedBlockingQueue<>();

    @Override
    public void frameReceived(int bytes) {}

    @Override
    public void frameSent(int bytes) {}

    @Override
    public void frameRejected(FrameError error) {
        mCounted.add("refused " + error);
    }

    @Override
    public void frameDropped(DropReason reason) {
        mCounted.add("dropped " + reason);
    }

    @Override
    public void silentConnectionReplaced() {
        mCounted.add("replaced");
    }

    String next() throws InterruptedException {
        return String.valueOf(mCounted.poll(PATIENCE_SECONDS, TimeUnit.SECONDS));
    }
}
