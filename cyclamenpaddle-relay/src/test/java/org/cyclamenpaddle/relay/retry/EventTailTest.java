package org.cyclamenpaddle.relay.retry;

import static org.testng.Assert.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;
import org.testng.annotations.Test;

/** Tests that {@link EventTail} lets through whole events only. */
public class EventTailTest {

    private static String offer(EventTail tail, String text) {
        return new String(
                tail.offer(text.getBytes(StandardCharsets.UTF_8)), StandardCharsets.UTF_8);
    }

    @Test
    public void halfAnEventIsHeldBack() {
        EventTail tail = new EventTail(Optional.empty());
        assertEquals(offer(tail, "id: 1\ndata: a\n\nid: 2\nda"), "id: 1\ndata: a\n\n");
        assertEquals(tail.lastId(), Optional.of("1"));
        assertEquals(offer(tail, "ta: b\n\n"), "id: 2\ndata: b\n\n");
        assertEquals(tail.lastId(), Optional.of("2"));
    }

    /**
     * A server breaks off in the middle of event 2 and another one goes on after event 1. The
     * caller sees event 2 once and whole, for the first half never reached it.
     */
    @Test
    public void droppedHalfDoesNotReachTheCaller() {
        EventTail tail = new EventTail(Optional.empty());
        offer(tail, "id: 1\ndata: a\n\nid: 2\ndata: ha");
        tail.dropRest();
        assertEquals(tail.lastId(), Optional.of("1"));
        assertEquals(offer(tail, "id: 2\ndata: b\n\n"), "id: 2\ndata: b\n\n");
    }

    @Test
    public void lineEndsWithCarriageReturnCount() {
        EventTail tail = new EventTail(Optional.of("9"));
        assertEquals(offer(tail, "data: x\r\n\r\n"), "data: x\r\n\r\n");
        assertEquals(tail.lastId(), Optional.of("9"));
    }

    @Test
    public void anyCutOfTheBytesGivesTheSameStream() {
        String stream =
                IntStream.range(0, 50)
                        .mapToObj(i -> "id: " + i + "\ndata: τ" + i + "\n\n")
                        .reduce("", String::concat);
        byte[] bytes = stream.getBytes(StandardCharsets.UTF_8);
        Random random = new Random(3);
        EventTail tail = new EventTail(Optional.empty());
        java.io.ByteArrayOutputStream seen = new java.io.ByteArrayOutputStream();
        for (int at = 0; at < bytes.length; ) {
            int end = Math.min(bytes.length, at + 1 + random.nextInt(20));
            seen.writeBytes(tail.offer(java.util.Arrays.copyOfRange(bytes, at, end)));
            at = end;
        }
        seen.writeBytes(tail.takeRest());
        assertEquals(seen.toByteArray(), bytes);
        assertEquals(tail.lastId(), Optional.of("49"));
    }
}
