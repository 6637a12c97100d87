package org.cyclamenpaddle.relay.resume;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.cyclamenpaddle.core.id.SoftwareVersion;
import org.cyclamenpaddle.core.id.StreamKey;
import org.cyclamenpaddle.core.message.StreamBeginning;

/**
 * Exchanges the beginnings of streams with other hosts.
 *
 * <p>Each stream has a few owners among the hosts, not all in one failure domain, so that the
 * number of messages for a stream does not depend on the number of hosts.
 */
public interface StreamPeers {

    /** Receives what other hosts send. */
    interface Listener {

        /** Called with beginnings that another host reports. */
        void reported(Collection<StreamBeginning> beginnings);

        /** Returns the version that began a stream; empty if this host does not know it. */
        Optional<SoftwareVersion> known(StreamKey stream);

        /** Returns all beginnings that this host knows. */
        Collection<StreamBeginning> all();
    }

    /**
     * Reply of a host that was asked for a stream.
     *
     * @param responded whether the host responded
     * @param version the version that began the stream; empty if the host does not know it
     */
    record Reply(boolean responded, Optional<SoftwareVersion> version) {

        /** Reply in place of one that did not come. */
        public static final Reply NONE = new Reply(false, Optional.empty());

        public Reply {
            if (version == null || !responded && version.isPresent()) {
                throw new IllegalArgumentException("no reply has a version");
            }
        }
    }

    /**
     * Sends beginnings to the owners of their streams; other hosts stand in for those that do not
     * confirm them.
     */
    void report(Collection<StreamBeginning> beginnings);

    /** Sends beginnings to the hosts that own their streams once this host has left. */
    void handOn(Collection<StreamBeginning> beginnings);

    /**
     * Asks the other owners of a stream at which version it began.
     *
     * @param round number of earlier rounds; each asks more hosts than the one before
     */
    List<CompletableFuture<Reply>> ask(StreamKey stream, int round);
}
