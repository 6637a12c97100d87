package org.cyclamenpaddle.core.message;

import java.util.List;

/**
 * Reports at which software versions streams have begun; without any, asks whether the host
 * confirms notices.
 *
 * @param beginnings the streams
 */
public record StreamNotice(List<StreamBeginning> beginnings) implements PeerMessage {

    public StreamNotice {
        beginnings = List.copyOf(beginnings);
    }
}
