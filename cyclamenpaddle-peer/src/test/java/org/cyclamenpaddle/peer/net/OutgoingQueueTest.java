package org.cyclamenpaddle.peer.net;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Optional;
import org.cyclamenpaddle.peer.codec.FrameCodec;
import org.testng.annotations.Test;

public class OutgoingQueueTest {

    private static final OutgoingQueue.Entry OLD_BEAT = entry(0, true, 10);
    private static final OutgoingQueue.Entry ASK = entry(5, false, 10);
    private static final OutgoingQueue.Entry NEW_BEAT = entry(0, true, 10);

    @Test
    public void oldestHeartbeatGoesFirstAndAsksNever() {
        OutgoingQueue queue = new OutgoingQueue(2);
        assertEquals(queue.offer(OLD_BEAT), List.of());
        assertEquals(queue.offer(ASK), List.of());
        assertEquals(queue.offer(NEW_BEAT), List.of(OLD_BEAT));
        assertEquals(queue.poll(), Optional.of(ASK));
        assertEquals(queue.poll(), Optional.of(NEW_BEAT));
        queue.offer(ASK);
        queue.offer(ASK);
        assertEquals(queue.offer(NEW_BEAT), List.of(NEW_BEAT));
    }

    @Test
    public void bytesAreBoundedToo() {
        OutgoingQueue queue = new OutgoingQueue(100);
        OutgoingQueue.Entry large = entry(1, false, FrameCodec.MAX_FRAME_BYTES);
        queue.offer(large);
        queue.offer(large);
        assertEquals(queue.offer(ASK), List.of(ASK));
        queue.poll();
        assertEquals(queue.offer(ASK), List.of());
    }

    private static OutgoingQueue.Entry entry(long correlation, boolean heartbeat, int bytes) {
        return new OutgoingQueue.Entry(correlation, heartbeat, 0, new byte[bytes]);
    }
}
