package org.cyclamenpaddle.relay.retry;

import static org.testng.Assert.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;
import org.testng.annotations.Test;

/** Tests that {@link EventFramer} returns complete events only. */
public class EventFramerTest {

    private static String offer(EventFramer framer, String text) {
        return new String(
                framer.offer(text.getBytes(StandardCharsets.UTF_8)), StandardCharsets.UTF_8);
    }

    @Test
    public void partialEventIsBuffered() {
        EventFramer framer = new EventFramer(Optional.empty());
        assertEquals(offer(framer, "id: 1\ndata: a\n\nid: 2\nda"), "id: 1\ndata: a\n\n");
        assertEquals(framer.lastEventId(), Optional.of("1"));
        assertEquals(offer(framer, "ta: b\n\n"), "id: 2\ndata: b\n\n");
        assertEquals(framer.lastEventId(), Optional.of("2"));
    }

    /**
     * A server breaks its connection within event 2 and another one resumes after event 1. The
     * caller receives event 2 once and complete, because its first part was never forwarded.
     */
    @Test
    public void discardedPartialEventDoesNotReachCaller() {
        EventFramer framer = new EventFramer(Optional.empty());
        offer(framer, "id: 1\ndata: a\n\nid: 2\ndata: ha");
        framer.discardPartialEvent();
        assertEquals(framer.lastEventId(), Optional.of("1"));
        assertEquals(offer(framer, "id: 2\ndata: b\n\n"), "id: 2\ndata: b\n\n");
    }

    @Test
    public void lineEndsWithCarriageReturnCount() {
        EventFramer framer = new EventFramer(Optional.of("9"));
        assertEquals(offer(framer, "data: x\r\n\r\n"), "data: x\r\n\r\n");
        assertEquals(framer.lastEventId(), Optional.of("9"));
    }

    @Test
    public void chunkBoundariesDoNotChangeTheStream() {
        String stream =
                IntStream.range(0, 50)
                        .mapToObj(i -> "id: " + i + "\ndata: τ" + i + "\n\n")
                        .reduce("", String::concat);
        byte[] bytes = stream.getBytes(StandardCharsets.UTF_8);
        Random random = new Random(3);
        EventFramer framer = new EventFramer(Optional.empty());
        java.io.ByteArrayOutputStream received = new java.io.ByteArrayOutputStream();
        for (int at = 0; at < bytes.length; ) {
            int end = Math.min(bytes.length, at + 1 + random.nextInt(20));
            received.writeBytes(framer.offer(java.util.Arrays.copyOfRange(bytes, at, end)));
            at = end;
        }
        received.writeBytes(framer.takePartialEvent());
        assertEquals(received.toByteArray(), bytes);
        assertEquals(framer.lastEventId(), Optional.of("49"));
    }
}
