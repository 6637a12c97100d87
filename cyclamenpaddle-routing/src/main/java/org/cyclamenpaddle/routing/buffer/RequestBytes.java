package org.cyclamenpaddle.routing.buffer;

import java.util.HashSet;
import java.util.Set;
import org.cyclamenpaddle.core.id.BackendId;

/**
 * Bytes held for one request: its body, which is held once however often it is sent, and the parts
 * of its response that the caller has not read yet. Thread-safe.
 *
 * <p>After {@link #close} it holds nothing, and further calls have no effect.
 */
public final class RequestBytes implements AutoCloseable {

    /** Largest part in which a response arrives from a server; the HTTP client's default. */
    static final long PART_BYTES = 8 << 10;

    /**
     * Memory that a queued part takes beside its bytes: the objects of the part, of its place in
     * the queue and of its callback. Events of 100 bytes take more of it than of their own.
     */
    static final long PART_OVERHEAD_BYTES = 256;

    private static final long PART_COST_BYTES = PART_BYTES + PART_OVERHEAD_BYTES;

    /**
     * Bytes set aside for the response of each request: one part that is being written and one that
     * waits. With them, every response can be forwarded while the account is full.
     */
    static final long RESPONSE_RESERVE_BYTES = 2 * PART_COST_BYTES;

    private final ByteAccount mAccount;
    private long mFixed;
    private long mBody;
    private long mAdmittedBody;
    private long mResponse;
    private long mUnread;
    private long mPending;
    private long mReadAhead;
    private final Set<BackendId> mServers = new HashSet<>();
    private boolean mClosed;

    RequestBytes(ByteAccount account) {
        mAccount = account;
    }

    /**
     * Admits the request with the body length that it states and returns whether it fits.
     *
     * @param bodyBytes stated length; 0 if none is stated
     */
    public synchronized boolean tryAdmit(long bodyBytes) {
        if (mClosed || !takeFixed(bodyBytes + RESPONSE_RESERVE_BYTES)) {
            return false;
        }
        mAdmittedBody = bodyBytes;
        return true;
    }

    /** Adds a part of the body that was read, and returns whether it fits. */
    public synchronized boolean tryAddBody(long bytes) {
        if (mClosed) {
            return false;
        }
        long excess = mBody + bytes - mAdmittedBody;
        if (excess > 0) {
            if (!takeFixed(excess)) {
                return false;
            }
            mAdmittedBody += excess;
        }
        mBody += bytes;
        return true;
    }

    /**
     * Notes that the body is sent to a server and is outstanding nowhere else.
     *
     * @return whether it fits at that server; if not, it is outstanding at none
     */
    public synchronized boolean trySend(BackendId server) {
        sendEnded();
        return trySendBeside(server);
    }

    /**
     * Notes that the body is sent to a server, beside those where it is outstanding.
     *
     * @return whether it fits at that server
     */
    public synchronized boolean trySendBeside(BackendId server) {
        if (mClosed || mServers.contains(server)) {
            return !mClosed;
        }
        boolean fits = mAccount.trySend(server, mBody);
        if (fits) {
            mServers.add(server);
        }
        return fits;
    }

    /** Notes that the body is no longer outstanding at any server. */
    public synchronized void sendEnded() {
        mServers.forEach(server -> mAccount.sendEnded(server, mBody));
        mServers.clear();
    }

    /** Notes that the body is no longer outstanding at a server. */
    public synchronized void sendEnded(BackendId server) {
        if (mServers.remove(server)) {
            mAccount.sendEnded(server, mBody);
        }
    }

    /** Adds a part of the response that has arrived. */
    public synchronized void received(long bytes) {
        mPending = 0;
        mResponse += bytes;
        updateReadAhead();
    }

    /** Notes that bytes received before were queued for the caller as one part. */
    public synchronized void queued(long bytes) {
        mUnread += bytes;
        mResponse += PART_OVERHEAD_BYTES;
        updateReadAhead();
    }

    /** Subtracts a queued part that the caller has taken. */
    public synchronized void delivered(long bytes) {
        mUnread -= bytes;
        discarded(bytes + PART_OVERHEAD_BYTES);
    }

    /** Subtracts bytes that were received and will not be queued. */
    public synchronized void discarded(long bytes) {
        mResponse -= bytes;
        updateReadAhead();
    }

    /**
     * Returns whether a response may wait for its further parts before it is queued for the caller.
     */
    public synchronized boolean mayWaitForMore() {
        return mAccount.bounds().responseBytes() == 0 || fitsAhead();
    }

    /** Sets room aside for the next part of the response, even if it does not fit. */
    public synchronized void readNext() {
        mPending = PART_COST_BYTES;
        updateReadAhead();
    }

    /**
     * Sets room aside for the next part of the response if it may be read now: the caller has taken
     * everything, or the part may be read ahead.
     *
     * @return whether the next part may be read
     */
    public synchronized boolean tryReadNext() {
        boolean allowed = !mClosed && (mUnread == 0 || fitsAhead());
        if (allowed) {
            readNext();
        }
        return allowed;
    }

    /** Returns what is held of the response. */
    public synchronized long response() {
        return mResponse;
    }

    /** Returns whether everything was released. */
    public synchronized boolean isClosed() {
        return mClosed;
    }

    /** Releases everything. */
    @Override
    public synchronized void close() {
        sendEnded();
        mResponse = 0;
        mPending = 0;
        updateReadAhead();
        mAccount.release(mFixed);
        mFixed = 0;
        mClosed = true;
    }

    private boolean takeFixed(long bytes) {
        boolean taken = mAccount.tryTake(bytes);
        if (taken) {
            mFixed += bytes;
        }
        return taken;
    }

    private boolean fitsAhead() {
        return mResponse + PART_COST_BYTES <= mAccount.bounds().responseBytes()
                && mAccount.mayReadAhead(readAhead(mResponse + PART_COST_BYTES) - mReadAhead);
    }

    private void updateReadAhead() {
        if (mClosed) {
            return;
        }
        long readAhead = readAhead(mResponse + mPending);
        mAccount.addReadAhead(readAhead - mReadAhead);
        mReadAhead = readAhead;
    }

    /** Returns what is held beyond the part of the reserve that waits. */
    private static long readAhead(long bytes) {
        return Math.max(0, bytes - PART_COST_BYTES);
    }
}
