package org.cyclamenpaddle.fleet.simulation;

import org.cyclamenpaddle.core.message.Heartbeat;
import org.cyclamenpaddle.core.message.HostRecord;
import org.cyclamenpaddle.core.message.PeerMessage;

/** Estimates the encoded size of a message in bytes, from the sizes of MessagePack types. */
final class MessageSize {

    private static final int FRAME_BYTES = 4 + 1 + 1 + 9;
    private static final int LONG_BYTES = 9;
    private static final int INT_BYTES = 3;

    private MessageSize() {}

    static int of(PeerMessage message) {
        if (message instanceof Heartbeat heartbeat) {
            int records = heartbeat.hosts().stream().mapToInt(MessageSize::record).sum();
            return FRAME_BYTES
                    + record(heartbeat.sender())
                    + 3 * LONG_BYTES
                    + 2 * INT_BYTES
                    + records;
        }
        return FRAME_BYTES + LONG_BYTES + record();
    }

    private static int record() {
        return 60;
    }

    private static int record(HostRecord record) {
        return 2
                + record.incarnation().host().value().length()
                + LONG_BYTES
                + 1
                + record.domain().value().length()
                + 1
                + record.address().length()
                + 2 * INT_BYTES
                + 1;
    }
}
