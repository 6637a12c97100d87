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

    /** Sends beginnings to the owners of their streams, without confirmation. */
    void report(Collection<StreamBeginning> beginnings);

    /** Sends beginnings to the hosts that own their streams once this host has left. */
    void handOn(Collection<StreamBeginning> beginnings);

    /**
     * Asks the other owners of a stream at which version it began.
     *
     * @return one response for each of them, empty if the host does not know it or does not respond
     */
    List<CompletableFuture<Optional<SoftwareVersion>>> ask(StreamKey stream);
}
