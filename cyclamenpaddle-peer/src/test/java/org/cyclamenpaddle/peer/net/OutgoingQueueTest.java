package org.cyclamenpaddle.peer.net;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Optional;
import org.cyclamenpaddle.peer.codec.FrameCodec;
import org.testng.annotations.Test;

public class OutgoingQueueTest {

    private static final OutgoingQueue.Entry OLD_HEARTBEAT = entry(0, true, 10);
    private static final OutgoingQueue.Entry REQUEST = entry(5, false, 10);
    private static final OutgoingQueue.Entry NEW_HEARTBEAT = entry(0, true, 10);

    @Test
    public void fullQueueDropsOldestHeartbeatAndNoRequest() {
        OutgoingQueue queue = new OutgoingQueue(2);
        assertEquals(queue.offer(OLD_HEARTBEAT), List.of());
        assertEquals(queue.offer(REQUEST), List.of());
        assertEquals(queue.offer(NEW_HEARTBEAT), List.of(OLD_HEARTBEAT));
        assertEquals(queue.poll(), Optional.of(REQUEST));
        assertEquals(queue.poll(), Optional.of(NEW_HEARTBEAT));
        queue.offer(REQUEST);
        queue.offer(REQUEST);
        assertEquals(queue.offer(NEW_HEARTBEAT), List.of(NEW_HEARTBEAT));
    }

    @Test
    public void queuedBytesAreBounded() {
        OutgoingQueue queue = new OutgoingQueue(100);
        OutgoingQueue.Entry large = entry(1, false, FrameCodec.MAX_FRAME_BYTES);
        queue.offer(large);
        queue.offer(large);
        assertEquals(queue.offer(REQUEST), List.of(REQUEST));
        queue.poll();
        assertEquals(queue.offer(REQUEST), List.of());
    }

    private static OutgoingQueue.Entry entry(long correlation, boolean heartbeat, int bytes) {
        return new OutgoingQueue.Entry(correlation, heartbeat, 0, new byte[bytes]);
    }
}
