package org.cyclamenpaddle.relay.retry;

import java.io.ByteArrayOutputStream;
import java.util.Optional;

/**
 * Splits a stream of server-sent events at event boundaries.
 *
 * <p>Safeguard: a backend server can break its connection within an event. If the first part had
 * been forwarded to the caller, the stream of the next server would be appended to an incomplete
 * event. Therefore only complete events are returned, and the stream can resume after the last of
 * them. Not thread-safe.
 */
public final class EventFramer {

    private static final String ID_FIELD = "id:";

    private final ByteArrayOutputStream mPartialEvent = new ByteArrayOutputStream();
    private final StringBuilder mLine = new StringBuilder();
    private Optional<String> mPendingEventId = Optional.empty();
    private Optional<String> mLastEventId;
    private long mEvents;

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
            mPartialEvent.write(next);
            if (next != '\n') {
                mLine.append((char) (next & 0xff));
            } else if (endLine()) {
                complete.writeBytes(mPartialEvent.toByteArray());
                mPartialEvent.reset();
            }
        }
        return complete.toByteArray();
    }

    /** Discards the bytes of an incomplete event. */
    public void discardPartialEvent() {
        mPartialEvent.reset();
        mLine.setLength(0);
        mPendingEventId = Optional.empty();
    }

    /** Returns the bytes after the last complete event and discards them. */
    public byte[] takePartialEvent() {
        byte[] partial = mPartialEvent.toByteArray();
        discardPartialEvent();
        return partial;
    }

    /** Returns whether a part of an event has been received, but not its end. */
    public boolean isInsideEvent() {
        return mPartialEvent.size() > 0;
    }

    /** Returns the id of the last complete event. */
    public Optional<String> lastEventId() {
        return mLastEventId;
    }

    /** Returns the number of complete events. */
    public long events() {
        return mEvents;
    }

    /** Ends a line and returns whether it ends an event. */
    private boolean endLine() {
        int length = mLine.length();
        if (length > 0 && mLine.charAt(length - 1) == '\r') {
            mLine.setLength(length - 1);
        }
        String line = mLine.toString();
        mLine.setLength(0);
        if (line.startsWith(ID_FIELD)) {
            mPendingEventId = Optional.of(line.substring(ID_FIELD.length()).strip());
        }
        if (!line.isEmpty()) {
            return false;
        }
        mEvents++;
        mLastEventId = mPendingEventId.or(() -> mLastEventId);
        mPendingEventId = Optional.empty();
        return true;
    }
}
