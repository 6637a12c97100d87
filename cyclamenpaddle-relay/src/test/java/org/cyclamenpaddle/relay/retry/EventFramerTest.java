package org.cyclamenpaddle.relay.retry;

import static org.testng.Assert.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;
import org.testng.annotations.Test;

/** Tests that {@link EventFramer} lets through whole events only. */
public class EventFramerTest {

    private static String offer(EventFramer tail, String text) {
        return new String(
                tail.offer(text.getBytes(StandardCharsets.UTF_8)), StandardCharsets.UTF_8);
    }

    @Test
    public void halfAnEventIsHeldBack() {
        EventFramer tail = new EventFramer(Optional.empty());
        assertEquals(offer(tail, "id: 1\ndata: a\n\nid: 2\nda"), "id: 1\ndata: a\n\n");
        assertEquals(tail.lastEventId(), Optional.of("1"));
        assertEquals(offer(tail, "ta: b\n\n"), "id: 2\ndata: b\n\n");
        assertEquals(tail.lastEventId(), Optional.of("2"));
    }

    /**
     * A server breaks off in the middle of event 2 and another one goes on after event 1. The
     * caller sees event 2 once and whole, for the first half never reached it.
     */
    @Test
    public void droppedHalfDoesNotReachTheCaller() {
        EventFramer tail = new EventFramer(Optional.empty());
        offer(tail, "id: 1\ndata: a\n\nid: 2\ndata: ha");
        tail.discardPartialEvent();
        assertEquals(tail.lastEventId(), Optional.of("1"));
        assertEquals(offer(tail, "id: 2\ndata: b\n\n"), "id: 2\ndata: b\n\n");
    }

    @Test
    public void lineEndsWithCarriageReturnCount() {
        EventFramer tail = new EventFramer(Optional.of("9"));
        assertEquals(offer(tail, "data: x\r\n\r\n"), "data: x\r\n\r\n");
        assertEquals(tail.lastEventId(), Optional.of("9"));
    }

    @Test
    public void anyCutOfTheBytesGivesTheSameStream() {
        String stream =
                IntStream.range(0, 50)
                        .mapToObj(i -> "id: " + i + "\ndata: τ" + i + "\n\n")
                        .reduce("", String::concat);
        byte[] bytes = stream.getBytes(StandardCharsets.UTF_8);
        Random random = new Random(3);
        EventFramer tail = new EventFramer(Optional.empty());
        java.io.ByteArrayOutputStream seen = new java.io.ByteArrayOutputStream();
        for (int at = 0; at < bytes.length; ) {
            int end = Math.min(bytes.length, at + 1 + random.nextInt(20));
            seen.writeBytes(tail.offer(java.util.Arrays.copyOfRange(bytes, at, end)));
            at = end;
        }
        seen.writeBytes(tail.takePartialEvent());
        assertEquals(seen.toByteArray(), bytes);
        assertEquals(tail.lastEventId(), Optional.of("49"));
    }
}
