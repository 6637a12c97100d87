package org.cyclamenpaddle.relay.log;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.SerializableString;
import com.fasterxml.jackson.core.io.SerializedString;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Supplier;
import org.cyclamenpaddle.core.invariant.Invariants;

/**
 * Asynchronous log that writes one JSON line per event and never blocks a request.
 *
 * <p>Safeguard: the process that reads standard output may stop reading, and a blocking write would
 * then stall every request. Lines are put into a bounded queue that a single thread drains. As the
 * queue fills up, ordinary lines are dropped first and lines that explain failures last; the number
 * of dropped lines is logged in a line of its own.
 *
 * <p>The thread that logs only queues the values. The writer formats and writes the lines of some
 * tens of milliseconds at once: a wake-up and a system call for each line cost more than the line.
 * Thread-safe.
 */
public final class RelayEventLog {

    /** Capacity of the queue in lines; at about 300 bytes a line it stays under 700 KB. */
    static final int QUEUE_LINES = 2_048;

    /**
     * Time for which the writer collects lines after the first one, in milliseconds; lines must be
     * visible within 100 ms.
     */
    private static final long BATCH_MILLIS = 50;

    /** Lines at which a batch is written before its time, so that none are dropped. */
    private static final int BATCH_LINES = QUEUE_LINES / 8;

    private static final SerializableString LINE_SEPARATOR = new SerializedString("\n");

    /** Line that is not formatted yet; values are numbers, truth values and strings. */
    private record Line(Instant time, RelayEvent event, Object[] values) {}

    private final OutputStream mOut;
    private final Supplier<Instant> mWallClock;
    private final String mHost;
    private final JsonFactory mJson = new JsonFactory();
    private final Deque<Line> mQueue = new ArrayDeque<>();
    private long mDropped;

    /** Held while lines are taken from the queue and written, so that they stay in order. */
    private final Object mWriting = new Object();

    private final TimeStamps mTimeStamps = new TimeStamps();
    private final ByteArrayOutputStream mBatch = new ByteArrayOutputStream();

    /**
     * Creates a log; lines are written once {@link #start} is called.
     *
     * @param out stream to write to
     * @param host name of this host
     * @param wallClock time of day, for display only
     */
    public RelayEventLog(OutputStream out, String host, Supplier<Instant> wallClock) {
        mOut = out;
        mHost = host;
        mWallClock = wallClock;
    }

    /**
     * Starts the writer thread; lines that are queued when the process ends are written, too, and
     * so are errors that end a thread. A planned stop halts the process, so that any other end
     * passes through the shutdown hook.
     */
    public void start() {
        Thread.setDefaultUncaughtExceptionHandler(
                (thread, error) -> log(RelayEvent.UNCAUGHT_ERROR, thread.getName(), error));
        Runtime.getRuntime().addShutdownHook(new Thread(this::logUnplannedEnd, "log-flush"));
        Thread writer = new Thread(this::writeAll, "log-writer");
        writer.setDaemon(true);
        writer.start();
    }

    /**
     * Queues a line.
     *
     * @param event event to log
     * @param values values of {@link RelayEvent#fields()}, in the same number and order
     */
    public void log(RelayEvent event, Object... values) {
        Invariants.require(
                values.length == event.fields().size(),
                () ->
                        event.code()
                                + " expects values for "
                                + event.fields()
                                + ", got "
                                + values.length);
        Line line = new Line(mWallClock.get(), event, copy(values));
        synchronized (mQueue) {
            if (mQueue.size() >= capacity(event.priority())) {
                mDropped++;
                return;
            }
            mQueue.add(line);
            if (mQueue.size() == 1 || mQueue.size() == BATCH_LINES) {
                mQueue.notifyAll();
            }
        }
    }

    /**
     * Writes the lines that are queued now, after those that are being written; for use at the end
     * of the process.
     */
    public void flush() {
        synchronized (mWriting) {
            write(drain());
        }
    }

    private void logUnplannedEnd() {
        log(RelayEvent.ENDED_UNPLANNED, ProcessHandle.current().pid());
        flush();
    }

    /** Objects are converted at once: they may change before the line is formatted. */
    private static Object[] copy(Object[] values) {
        Object[] copy = new Object[values.length];
        for (int i = 0; i < values.length; i++) {
            Object value = values[i];
            boolean kept = value instanceof Number || value instanceof Boolean;
            copy[i] = kept ? value : String.valueOf(value);
        }
        return copy;
    }

    private static int capacity(RelayEvent.Priority weight) {
        return switch (weight) {
            case ORDINARY -> QUEUE_LINES / 2;
            case DIAGNOSTIC -> QUEUE_LINES * 3 / 4;
            case STATE -> QUEUE_LINES;
        };
    }

    private void writeAll() {
        try {
            while (!Thread.currentThread().isInterrupted()) {
                awaitBatch();
                flush();
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /** Waits for a line, and then for more that come shortly after it. */
    private void awaitBatch() throws InterruptedException {
        synchronized (mQueue) {
            while (mQueue.isEmpty()) {
                mQueue.wait();
            }
            if (mQueue.size() < BATCH_LINES) {
                mQueue.wait(BATCH_MILLIS);
            }
        }
    }

    private List<Line> drain() {
        synchronized (mQueue) {
            List<Line> lines = new ArrayList<>(mQueue);
            mQueue.clear();
            if (mDropped > 0) {
                Object[] values = {mDropped};
                lines.add(new Line(mWallClock.get(), RelayEvent.LINES_DROPPED, values));
                mDropped = 0;
            }
            return lines;
        }
    }

    private void write(List<Line> lines) {
        if (lines.isEmpty()) {
            return;
        }
        format(lines);
        try {
            mBatch.writeTo(mOut);
            mOut.flush();
        } catch (IOException closed) {
            // Standard output is closed, and there is no other channel to report that.
            Thread.currentThread().interrupt();
        }
    }

    private void format(List<Line> lines) {
        mBatch.reset();
        try (JsonGenerator json = mJson.createGenerator(mBatch)) {
            json.setRootValueSeparator(LINE_SEPARATOR);
            for (Line line : lines) {
                writeLine(json, line);
            }
        } catch (IOException impossible) {
            throw new IllegalStateException("cannot write log lines to memory", impossible);
        }
        mBatch.write('\n');
    }

    private void writeLine(JsonGenerator json, Line line) throws IOException {
        json.writeStartObject();
        json.writeStringField("time", mTimeStamps.format(line.time()));
        json.writeStringField("node", mHost);
        json.writeStringField("code", line.event().code());
        json.writeStringField("event", line.event().text());
        for (int i = 0; i < line.values().length; i++) {
            writeField(json, line.event().fields().get(i), line.values()[i]);
        }
        json.writeEndObject();
    }

    private static void writeField(JsonGenerator json, String name, Object value)
            throws IOException {
        if (value instanceof Number number) {
            json.writeNumberField(name, number.longValue());
        } else if (value instanceof Boolean flag) {
            json.writeBooleanField(name, flag);
        } else {
            json.writeStringField(name, (String) value);
        }
    }
}
