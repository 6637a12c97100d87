package org.cyclamenpaddle.relay.log;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.cyclamenpaddle.core.invariant.BrokenInvariantException;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that lines are complete and that a blocked consumer of the output blocks no request. */
public class RelayEventLogTest {

    private final ByteArrayOutputStream mOut = new ByteArrayOutputStream();

    @BeforeMethod
    public void emptyOutput() {
        mOut.reset();
    }

    private RelayEventLog log(OutputStream out) {
        return new RelayEventLog(out, "host-1", () -> Instant.EPOCH);
    }

    private List<String> lines() {
        return mOut.toString(StandardCharsets.UTF_8).lines().toList();
    }

    @Test
    public void lineNamesEventAndFieldsAndCannotBeForged() {
        RelayEventLog log = log(mOut);
        log.log(RelayEvent.BACKEND_REMOVED, "i-1", "a \"quote\"\nand a line");
        log.flush();
        assertEquals(
                lines(),
                List.of(
                        "{\"time\":\"1970-01-01T00:00:00Z\",\"node\":\"host-1\","
                                + "\"code\":\"CP2107\","
                                + "\"event\":\"backend server entry removed or unreadable\","
                                + "\"backend\":\"i-1\","
                                + "\"reason\":\"a \\\"quote\\\"\\nand a line\"}"));
    }

    /**
     * The queue is not drained while many requests end. Ordinary lines are dropped first, those of
     * failures later, and the number of dropped lines is written once there is capacity again.
     */
    @Test
    public void fullQueueDropsOrdinaryLinesFirstAndReportsTheirNumber() {
        RelayEventLog log = log(mOut);
        IntStream.range(0, RelayEventLog.QUEUE_LINES)
                .forEach(i -> log.log(RelayEvent.RELEASE_FAILED, "i-1", i));
        log.log(RelayEvent.STORE_UNAVAILABLE, "configuration", "NO_ANSWER");
        log.flush();
        int written = RelayEventLog.QUEUE_LINES * 3 / 4;
        assertEquals(lines().size(), written + 2);
        assertTrue(lines().get(written).contains("CP2101"));
        assertTrue(
                lines().get(written + 1)
                        .contains("\"lines\":" + (RelayEventLog.QUEUE_LINES - written)));
    }

    @Test
    public void wrongNumberOfFieldsIsABrokenInvariant() {
        assertThrows(
                BrokenInvariantException.class,
                () -> log(mOut).log(RelayEvent.BACKEND_REMOVED, "one"));
    }

    /** Counts writes, and notes when each line arrived. */
    private static final class Reader extends OutputStream {
        private final AtomicInteger mWrites = new AtomicInteger();
        private final List<String> mLines = new CopyOnWriteArrayList<>();
        private volatile long mLastNanos;

        @Override
        public void write(int one) {
            throw new AssertionError("lines are written in blocks");
        }

        @Override
        public void write(byte[] bytes, int offset, int length) {
            mLastNanos = System.nanoTime();
            mWrites.incrementAndGet();
            mLines.addAll(
                    new String(bytes, offset, length, StandardCharsets.UTF_8).lines().toList());
        }
    }

    /** Every line costs a wake-up and a system call on a host that has little processor time. */
    @Test
    public void linesThatComeTogetherAreWrittenTogetherAndSoon() throws InterruptedException {
        Reader out = new Reader();
        RelayEventLog log = log(out);
        log.start();
        long start = System.nanoTime();
        IntStream.range(0, 20).forEach(i -> log.log(RelayEvent.RELEASE_FAILED, "i-1", i));
        awaitLines(out, 20);
        assertTrue(out.mWrites.get() <= 3, out.mWrites.get() + " writes");
        long millis = TimeUnit.NANOSECONDS.toMillis(out.mLastNanos - start);
        // 100 ms, and more for a busy machine.
        assertTrue(millis <= 400, "written after " + millis + " ms");
    }

    /** More lines come in the time of one batch than the queue can hold: none is dropped. */
    @Test
    public void fullBatchIsWrittenBeforeItsTime() throws InterruptedException {
        Reader out = new Reader();
        RelayEventLog log = log(out);
        log.start();
        int lines = RelayEventLog.QUEUE_LINES * 2;
        for (int i = 0; i < lines; i++) {
            log.log(RelayEvent.RELEASE_FAILED, "i-1", i);
            if (i % 64 == 0) {
                TimeUnit.MILLISECONDS.sleep(1);
            }
        }
        awaitLines(out, lines);
        assertEquals(out.mLines.size(), lines);
        IntStream.range(0, lines)
                .forEach(
                        i ->
                                assertTrue(
                                        out.mLines.get(i).endsWith(":" + i + "}"),
                                        out.mLines.get(i)));
    }

    /** The process ends while the writer collects lines. */
    @Test
    public void flushWritesAllLinesInOrder() {
        Reader out = new Reader();
        RelayEventLog log = log(out);
        log.start();
        for (int i = 0; i < 100; i++) {
            log.log(RelayEvent.RELEASE_FAILED, "i-1", i);
            if (i % 10 == 0) {
                log.flush();
                assertEquals(out.mLines.size(), i + 1);
            }
        }
        log.flush();
        assertEquals(out.mLines.size(), 100);
        assertTrue(out.mLines.get(99).contains("\"cause\":99"), out.mLines.get(99));
    }

    /** An object changes after it was logged, but before its line is formatted. */
    @Test
    public void lineShowsTheValuesAtTheTimeOfItsEvent() {
        RelayEventLog log = log(mOut);
        StringBuilder value = new StringBuilder("before");
        log.log(RelayEvent.RELEASE_FAILED, "i-1", value);
        value.append(" and after");
        log.flush();
        assertTrue(lines().get(0).contains("\"before\""), lines().get(0));
    }

    @Test
    public void timeStampsAreInOrderAsText() {
        TimeStamps stamps = new TimeStamps();
        assertEquals(
                stamps.format(Instant.parse("2026-12-03T18:34:30.000007999Z")),
                "2026-12-03T18:34:30.000007Z");
        assertEquals(
                stamps.format(Instant.parse("2026-12-03T18:34:30.120Z")),
                "2026-12-03T18:34:30.120000Z");
        assertEquals(stamps.format(Instant.parse("2026-12-31T23:59:59Z")), "2026-12-31T23:59:59Z");
        assertEquals(
                stamps.format(Instant.parse("2026-12-03T18:34:30.5Z")),
                "2026-12-03T18:34:30.500000Z");
    }

    private static void awaitLines(Reader out, int lines) throws InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
        while (out.mLines.size() < lines && System.nanoTime() < deadline) {
            TimeUnit.MILLISECONDS.sleep(1);
        }
    }
}
