package org.cyclamenpaddle.fleet.simulation;

import org.cyclamenpaddle.core.message.Heartbeat;
import org.cyclamenpaddle.core.message.HostRecord;
import org.cyclamenpaddle.core.message.PeerMessage;

/** Estimates the bytes of a message on the wire, by the sizes of MessagePack. */
final class MessageSize {

    private static final int FRAME = 4 + 1 + 1 + 9;
    private static final int LONG = 9;
    private static final int INT = 3;

    private MessageSize() {}

    static int of(PeerMessage message) {
        if (message instanceof Heartbeat heartbeat) {
            int records = heartbeat.hosts().stream().mapToInt(MessageSize::record).sum();
            return FRAME + record(heartbeat.sender()) + 3 * LONG + 2 * INT + records;
        }
        return FRAME + LONG + record();
    }

    private static int record() {
        return 60;
    }

    private static int record(HostRecord record) {
        return 2
                + record.incarnation().host().value().length()
                + LONG
                + 1
                + record.domain().value().length()
                + 1
                + record.address().length()
                + 2 * INT
                + 1;
    }
}
