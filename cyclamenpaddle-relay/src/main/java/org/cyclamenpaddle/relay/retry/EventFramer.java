package org.cyclamenpaddle.relay.retry;

import java.io.ByteArrayOutputStream;
import java.util.Optional;

/**
 * Splits a stream of server-sent events at event boundaries.
 *
 * <p>Safeguard: a backend server can break its connection within an event. If the first part had
 * been forwarded to the caller, the stream of the next server would be appended to an incomplete
 * event. Therefore only complete events are returned, and the stream can resume after the last of
 * them.
 *
 * <p>Follows the event stream format: a line ends with LF, CRLF or CR, an event with an empty line;
 * a line that begins with a colon is a comment; a byte order mark may precede the first line. Not
 * thread-safe.
 */
public final class EventFramer {

    /**
     * Maximum number of bytes of an incomplete event. An event of a model holds a few tokens, far
     * less than this; with the 16 MiB of a whole response as the only bound, a few streams exhaust
     * the heap of a small host.
     */
    static final int MAX_EVENT_BYTES = 256 << 10;

    private static final String ID_FIELD = "id:";
    private static final int[] BYTE_ORDER_MARK = {0xef, 0xbb, 0xbf};

    private final ByteArrayOutputStream mPartialEvent = new ByteArrayOutputStream();

    /** The beginning of the line, and all of it if it states an id. */
    private final StringBuilder mLine = new StringBuilder();

    private Optional<String> mPendingEventId = Optional.empty();
    private Optional<String> mLastEventId;
    private long mEvents;
    private boolean mInsideEvent;
    private boolean mAfterCarriageReturn;
    private boolean mContinues;

    /** Number of bytes of a byte order mark received; -1 once another byte has been received. */
    private int mMarkBytes;

    /**
     * Creates a framer for a stream.
     *
     * @param lastEventId id of the last event that the caller has received; empty at the beginning
     */
    public EventFramer(Optional<String> lastEventId) {
        mLastEventId = lastEventId;
    }

    /**
     * Adds received bytes and returns all bytes up to the end of the last complete event.
     *
     * @param bytes the bytes as received
     * @return the completed events; empty if no event is complete
     */
    public byte[] offer(byte[] bytes) {
        ByteArrayOutputStream complete = new ByteArrayOutputStream();
        for (byte next : bytes) {
            if (!isPartOfMark(next)) {
                add(next, complete);
            }
        }
        return complete.toByteArray();
    }

    /**
     * Discards the bytes of an incomplete event; what follows is the beginning of another response,
     * which continues this stream.
     */
    public void discardPartialEvent() {
        mPartialEvent.reset();
        mLine.setLength(0);
        mPendingEventId = Optional.empty();
        mInsideEvent = false;
        mAfterCarriageReturn = false;
        mMarkBytes = 0;
    }

    /** Returns the bytes after the last complete event and discards them. */
    public byte[] takePartialEvent() {
        byte[] partial = mPartialEvent.toByteArray();
        discardPartialEvent();
        return partial;
    }

    /**
     * Returns whether the bytes received so far end within an event or a line. Complete comments
     * alone are no event.
     */
    public boolean isInsideEvent() {
        boolean insideMark = mMarkBytes > 0 && mMarkBytes < BYTE_ORDER_MARK.length;
        return mInsideEvent || insideMark || mLine.length() > 0;
    }

    /**
     * Returns whether the incomplete event is longer than any that is accepted. The response must
     * then be ended, since the event is kept until it is complete.
     */
    public boolean exceedsBound() {
        return mPartialEvent.size() > MAX_EVENT_BYTES;
    }

    /** Returns the id of the last complete event. */
    public Optional<String> lastEventId() {
        return mLastEventId;
    }

    /** Returns the number of complete events. */
    public long events() {
        return mEvents;
    }

    /** Returns whether a byte belongs to the byte order mark at the beginning of a response. */
    private boolean isPartOfMark(byte next) {
        if (mMarkBytes < 0 || mMarkBytes == BYTE_ORDER_MARK.length) {
            mMarkBytes = -1;
            return false;
        }
        if ((next & 0xff) == BYTE_ORDER_MARK[mMarkBytes]) {
            mMarkBytes++;
            if (mMarkBytes == BYTE_ORDER_MARK.length && !mContinues) {
                writeMark(BYTE_ORDER_MARK.length);
            }
            return true;
        }
        writeMark(mMarkBytes);
        for (int i = 0; i < mMarkBytes; i++) {
            mLine.append((char) BYTE_ORDER_MARK[i]);
        }
        mMarkBytes = -1;
        return false;
    }

    private void writeMark(int length) {
        for (int i = 0; i < length; i++) {
            mPartialEvent.write(BYTE_ORDER_MARK[i]);
        }
    }

    private void add(byte next, ByteArrayOutputStream complete) {
        boolean endsPair = next == '\n' && mAfterCarriageReturn;
        mAfterCarriageReturn = next == '\r';
        if (endsPair && mPartialEvent.size() == 0) {
            // The carriage return has ended the event already.
            complete.write(next);
            return;
        }
        mPartialEvent.write(next);
        if (endsPair) {
            return;
        }
        if (next != '\n' && next != '\r') {
            addToLine((char) (next & 0xff));
        } else if (endLine()) {
            complete.writeBytes(mPartialEvent.toByteArray());
            mPartialEvent.reset();
            mContinues = true;
        }
    }

    /** Keeps the beginning of a line, and all of one that states an id. */
    private void addToLine(char next) {
        if (mLine.length() < ID_FIELD.length() || mLine.indexOf(ID_FIELD) == 0) {
            mLine.append(next);
        }
    }

    /** Ends a line and returns whether it is the empty one after an event or after comments. */
    private boolean endLine() {
        String line = mLine.toString();
        mLine.setLength(0);
        if (line.isEmpty()) {
            endEvent();
            return true;
        }
        int colon = line.indexOf(':');
        if (colon != 0) {
            mInsideEvent = true;
            if (line.startsWith(ID_FIELD)) {
                mPendingEventId = Optional.of(line.substring(colon + 1).strip());
            }
        }
        return false;
    }

    private void endEvent() {
        if (mInsideEvent) {
            mEvents++;
        }
        mLastEventId = mPendingEventId.or(() -> mLastEventId);
        mPendingEventId = Optional.empty();
        mInsideEvent = false;
    }
}
