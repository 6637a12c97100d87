package org.cyclamenpaddle.relay.retry;

import java.io.ByteArrayOutputStream;
import java.util.Optional;

/**
 * Cuts a stream of server-sent events at the ends of events.
 *
 * <p>Safeguard: a backend server can break off in the middle of an event. Had its first half gone
 * to the caller, the next server's stream would be joined to half an event. So only whole events
 * are let through, and the stream can go on after the last of them. Not thread-safe.
 */
public final class EventFramer {

    private static final String ID_FIELD = "id:";

    private final ByteArrayOutputStream mRest = new ByteArrayOutputStream();
    private final StringBuilder mLine = new StringBuilder();
    private Optional<String> mPendingId = Optional.empty();
    private Optional<String> mLastId;
    private long mEvents;

    /**
     * Creates the tail of a stream.
     *
     * @param lastId id of the last event that the caller has; empty at the beginning
     */
    public EventFramer(Optional<String> lastId) {
        mLastId = lastId;
    }

    /**
     * Takes in bytes and returns those up to the end of the last whole event.
     *
     * @param bytes as they came
     */
    public byte[] offer(byte[] bytes) {
        ByteArrayOutputStream whole = new ByteArrayOutputStream();
        for (byte next : bytes) {
            mRest.write(next);
            if (next != '\n') {
                mLine.append((char) (next & 0xff));
            } else if (lineEnds()) {
                whole.writeBytes(mRest.toByteArray());
                mRest.reset();
            }
        }
        return whole.toByteArray();
    }

    /** Forgets the bytes of an event that was not completed. */
    public void discardPartialEvent() {
        mRest.reset();
        mLine.setLength(0);
        mPendingId = Optional.empty();
    }

    /** Returns the bytes after the last whole event and forgets them. */
    public byte[] takePartialEvent() {
        byte[] rest = mRest.toByteArray();
        discardPartialEvent();
        return rest;
    }

    /** Returns the id of the last whole event. */
    public Optional<String> lastEventId() {
        return mLastId;
    }

    /** Returns the number of whole events. */
    public long events() {
        return mEvents;
    }

    /** Ends a line and returns whether it ends an event. */
    private boolean lineEnds() {
        int length = mLine.length();
        if (length > 0 && mLine.charAt(length - 1) == '\r') {
            mLine.setLength(length - 1);
        }
        String line = mLine.toString();
        mLine.setLength(0);
        if (line.startsWith(ID_FIELD)) {
            mPendingId = Optional.of(line.substring(ID_FIELD.length()).strip());
        }
        if (!line.isEmpty()) {
            return false;
        }
        mEvents++;
        mLastId = mPendingId.or(() -> mLastId);
        mPendingId = Optional.empty();
        return true;
    }
}
