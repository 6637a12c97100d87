package org.cyclamenpaddle.peer.net;

import org.cyclamenpaddle.peer.codec.FrameError;

/** Receives the counted events of the network; called on any thread, must not block. */
public interface PeerCounters {

    /** Counts nothing. */
    PeerCounters NONE =
            new PeerCounters() {
                @Override
                public void frameReceived(int bytes) {}

                @Override
                public void frameSent(int bytes) {}

                @Override
                public void frameRejected(FrameError error) {}

                @Override
                public void frameDropped(DropReason reason) {}

                @Override
                public void silentConnectionReplaced() {}
            };

    /** Why an outgoing frame was dropped. */
    enum DropReason {
        /** The queue was full; heartbeats are dropped first. */
        QUEUE_FULL,
        /** It waited so long for a connection that the durations in it were out of date. */
        EXPIRED,
        /** It exceeded the maximum frame length. */
        TOO_LONG,
        /** A response could not be written because the requester did not read. */
        ASKER_STALLED
    }

    /** Called for a received frame of {@code bytes}, with its length prefix. */
    void frameReceived(int bytes);

    /** Called for a sent frame of {@code bytes}, with its length prefix. */
    void frameSent(int bytes);

    /** Called for a received frame that was rejected and its connection closed. */
    void frameRejected(FrameError error);

    /** Called for an outgoing frame that was dropped. */
    void frameDropped(DropReason reason);

    /** Called for a silent connection that was closed to be replaced. */
    void silentConnectionReplaced();
}
