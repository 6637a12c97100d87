package org.cyclamenpaddle.relay.retry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
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
        ByteArrayOutputStream received = new ByteArrayOutputStream();
        for (int at = 0; at < bytes.length; ) {
            int end = Math.min(bytes.length, at + 1 + random.nextInt(20));
            received.writeBytes(framer.offer(Arrays.copyOfRange(bytes, at, end)));
            at = end;
        }
        received.writeBytes(framer.takePartialEvent());
        assertEquals(received.toByteArray(), bytes);
        assertEquals(framer.lastEventId(), Optional.of("49"));
    }

    @DataProvider
    public Object[][] wholeStreams() {
        return new Object[][] {
            {"id: 1\ndata: a\n\n", "1", 1},
            {"id: 1\r\ndata: a\r\n\r\n", "1", 1},
            {"id: 1\rdata: a\r\r", "1", 1},
            {"id: 1\rdata: a\r\rid: 2\rdata: b\r\r", "2", 2},
            {"\u00ef\u00bb\u00bfid: 1\ndata: a\n\n", "1", 1},
            {"\u00ef\u00bb\u00bf", "none", 0},
            {"id: 1\n\n: the end\n", "1", 1},
            {": begin\n\nid: 1\ndata: a\n\n: the end\n\n", "1", 1},
            {"", "none", 0},
        };
    }

    /** A whole stream in another of the forms of its format is taken for a truncated one. */
    @Test(dataProvider = "wholeStreams")
    public void wholeStreamIsNotInsideAnEvent(String stream, String lastId, int events) {
        byte[] bytes = stream.getBytes(StandardCharsets.ISO_8859_1);
        for (int length = 1; length <= Math.max(1, bytes.length); length++) {
            EventFramer framer = new EventFramer(Optional.empty());
            ByteArrayOutputStream received = new ByteArrayOutputStream();
            for (int at = 0; at < bytes.length; at += length) {
                int end = Math.min(bytes.length, at + length);
                received.writeBytes(framer.offer(Arrays.copyOfRange(bytes, at, end)));
            }
            assertFalse(framer.isInsideEvent(), stream);
            assertEquals(framer.lastEventId().orElse("none"), lastId);
            assertEquals(framer.events(), events);
            received.writeBytes(framer.takePartialEvent());
            assertEquals(received.toByteArray(), bytes);
        }
    }

    @DataProvider
    public Object[][] truncatedStreams() {
        return new Object[][] {
            {"id: 1\ndata: a\n\nid"},
            {"id: 1\ndata: a\n\ndata"},
            {"id: 1\ndata: a\n"},
            {"id: 1\r\ndata: a\r\n"},
            {"id: 1\rdata: a\r"},
            {"id: 1\n\n: half a comm"},
            {"\u00ef\u00bb"},
            {"\u00ef\u00bbid: 1\n"},
        };
    }

    /** A stream that ends before the empty line after an event is taken for a whole one. */
    @Test(dataProvider = "truncatedStreams")
    public void truncatedStreamIsInsideAnEvent(String stream) {
        EventFramer framer = new EventFramer(Optional.empty());
        framer.offer(stream.getBytes(StandardCharsets.ISO_8859_1));
        assertTrue(framer.isInsideEvent());
        framer.discardPartialEvent();
        assertFalse(framer.isInsideEvent());
    }

    /** The mark that begins the second server's response gets between two events. */
    @Test
    public void byteOrderMarkOfAContinuationIsDropped() {
        EventFramer framer = new EventFramer(Optional.empty());
        offer(framer, "\ufeffid: 1\ndata: a\n\nid: 2\nda");
        framer.discardPartialEvent();
        assertEquals(offer(framer, "\ufeffid: 2\ndata: b\n\n"), "id: 2\ndata: b\n\n");
        assertEquals(framer.lastEventId(), Optional.of("2"));
    }

    @DataProvider
    public Object[][] endlessEvents() {
        return new Object[][] {{"x"}, {"data: x\n"}, {": comment\r\n"}};
    }

    /** An event without an end is kept for as long as its server sends. */
    @Test(dataProvider = "endlessEvents")
    public void endlessEventExceedsTheBound(String repeated) {
        EventFramer framer = new EventFramer(Optional.empty());
        assertEquals(offer(framer, "id: 1\ndata: a\n\n"), "id: 1\ndata: a\n\n");
        int sent = 0;
        for (; !framer.exceedsBound(); sent += repeated.length()) {
            assertTrue(sent <= EventFramer.MAX_EVENT_BYTES, sent + " bytes are kept");
            offer(framer, repeated);
        }
        assertTrue(sent > EventFramer.MAX_EVENT_BYTES);
        assertTrue(framer.isInsideEvent() || repeated.startsWith(":"));
        assertEquals(framer.lastEventId(), Optional.of("1"));
        framer.discardPartialEvent();
        assertFalse(framer.exceedsBound());
    }

    /** Many events are taken for one that is too long. */
    @Test
    public void completeEventsDoNotCountTowardsTheBound() {
        EventFramer framer = new EventFramer(Optional.empty());
        String event = "data: " + "x".repeat(EventFramer.MAX_EVENT_BYTES / 2) + "\n\n";
        for (int i = 0; i < 4; i++) {
            assertEquals(offer(framer, event), event);
            assertFalse(framer.exceedsBound());
        }
    }
}
