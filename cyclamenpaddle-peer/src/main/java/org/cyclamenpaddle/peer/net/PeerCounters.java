package org.cyclamenpaddle.peer.net;

import org.cyclamenpaddle.peer.codec.FrameError;

/** Hears what is to be counted; called on any thread, must not block. */
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
        /** The queue was full; heartbeats go first. */
        QUEUE_FULL,
        /** It waited so long for a connection that the durations in it were no longer true. */
        EXPIRED,
        /** It was longer than a frame may be. */
        TOO_LONG,
        /** An answer could not be written since its asker did not read. */
        ASKER_STALLED
    }

    /** A frame came in, of {@code bytes} with its length prefix. */
    void frameReceived(int bytes);

    /** A frame went out, of {@code bytes} with its length prefix. */
    void frameSent(int bytes);

    /** A frame was refused, and its connection closed. */
    void frameRejected(FrameError error);

    /** An outgoing frame was dropped. */
    void frameDropped(DropReason reason);

    /** A connection on which nothing came any more was closed, to be replaced. */
    void silentConnectionReplaced();
}
