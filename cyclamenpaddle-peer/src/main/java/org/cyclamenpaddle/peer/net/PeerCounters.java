package org.cyclamenpaddle.peer.net;

import org.cyclamenpaddle.peer.codec.FrameError;

/** Hears what is to be counted; called on any thread, must not block. */
public interface PeerCounters {

    /** Counts nothing. */
    PeerCounters NONE =
            new PeerCounters() {
                @Override
                public void frameIn(int bytes) {}

                @Override
                public void frameOut(int bytes) {}

                @Override
                public void refused(FrameError error) {}

                @Override
                public void dropped(DropReason reason) {}

                @Override
                public void replacedSilent() {}
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
    void frameIn(int bytes);

    /** A frame went out, of {@code bytes} with its length prefix. */
    void frameOut(int bytes);

    /** A frame was refused, and its connection closed. */
    void refused(FrameError error);

    /** An outgoing frame was dropped. */
    void dropped(DropReason reason);

    /** A connection on which nothing came any more was closed, to be replaced. */
    void replacedSilent();
}
