package org.cyclamenpaddle.relay.log;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Supplier;
import org.cyclamenpaddle.core.invariant.Invariants;

/**
 * Asynchronous log that writes one JSON line per event and never blocks a request.
 *
 * <p>Safeguard: the process that reads standard output may stop reading, and a blocking write would
 * then stall every request. Lines are put into a bounded queue that a single thread drains. As the
 * queue fills up, ordinary lines are dropped first and lines that explain failures last; the number
 * of dropped lines is logged in a line of its own. Thread-safe.
 */
public final class RelayEventLog {

    /** Capacity of the queue in lines; at about 300 bytes a line it stays under 700 KB. */
    static final int QUEUE_LINES = 2_048;

    private final OutputStream mOut;
    private final Supplier<Instant> mWallClock;
    private final String mHost;
    private final JsonFactory mJson = new JsonFactory();
    private final Deque<byte[]> mQueue = new ArrayDeque<>();
    private long mDropped;

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

    /** Starts the writer thread. */
    public void start() {
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
        synchronized (mQueue) {
            if (mQueue.size() >= capacity(event.priority())) {
                mDropped++;
                return;
            }
        }
        byte[] line = line(event, values);
        synchronized (mQueue) {
            mQueue.add(line);
            mQueue.notifyAll();
        }
    }

    /** Writes the lines that are queued now; for use at the end of the process. */
    public void flush() {
        drain(false).forEach(this::write);
    }

    private static int capacity(RelayEvent.Priority weight) {
        return switch (weight) {
            case ORDINARY -> QUEUE_LINES / 2;
            case DIAGNOSTIC -> QUEUE_LINES * 3 / 4;
            case STATE -> QUEUE_LINES;
        };
    }

    private void writeAll() {
        while (!Thread.currentThread().isInterrupted()) {
            drain(true).forEach(this::write);
        }
    }

    private Deque<byte[]> drain(boolean wait) {
        synchronized (mQueue) {
            while (wait && mQueue.isEmpty()) {
                try {
                    mQueue.wait();
                } catch (InterruptedException interrupted) {
                    Thread.currentThread().interrupt();
                    return new ArrayDeque<>();
                }
            }
            Deque<byte[]> lines = new ArrayDeque<>(mQueue);
            mQueue.clear();
            if (mDropped > 0) {
                lines.add(line(RelayEvent.LINES_DROPPED, new Object[] {mDropped}));
                mDropped = 0;
            }
            return lines;
        }
    }

    private void write(byte[] line) {
        try {
            mOut.write(line);
            mOut.flush();
        } catch (IOException closed) {
            // Standard output is closed, and there is no other channel to report that.
            Thread.currentThread().interrupt();
        }
    }

    private byte[] line(RelayEvent event, Object[] values) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator json = mJson.createGenerator(bytes)) {
            json.writeStartObject();
            json.writeStringField("time", mWallClock.get().toString());
            json.writeStringField("node", mHost);
            json.writeStringField("code", event.code());
            json.writeStringField("event", event.text());
            for (int i = 0; i < values.length; i++) {
                writeField(json, event.fields().get(i), values[i]);
            }
            json.writeEndObject();
        } catch (IOException impossible) {
            throw new IllegalStateException("cannot write a log line to memory", impossible);
        }
        bytes.write('\n');
        return bytes.toByteArray();
    }

    private static void writeField(JsonGenerator json, String name, Object value)
            throws IOException {
        if (value instanceof Number number) {
            json.writeNumberField(name, number.longValue());
        } else if (value instanceof Boolean flag) {
            json.writeBooleanField(name, flag);
        } else {
            json.writeStringField(name, String.valueOf(value));
        }
    }
}
