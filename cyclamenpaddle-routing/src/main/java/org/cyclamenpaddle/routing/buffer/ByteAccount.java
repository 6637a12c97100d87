package org.cyclamenpaddle.routing.buffer;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.cyclamenpaddle.core.id.BackendId;

/**
 * Account of the bytes that a process holds for all of its requests; thread-safe.
 *
 * <p>The sum stays within its bound, with one exception: bytes that have arrived are held even if
 * they do not fit, since an event of a stream can only be forwarded when it is complete.
 */
public final class ByteAccount {

    private final ByteBounds mBounds;
    private final Map<BackendId, Long> mServers = new HashMap<>();
    private long mHeld;
    private long mReadAhead;

    public ByteAccount(ByteBounds bounds) {
        mBounds = bounds;
    }

    /** Returns the bounds. */
    public ByteBounds bounds() {
        return mBounds;
    }

    /** Returns the account of a new request, which holds nothing yet. */
    public RequestBytes newRequest() {
        return new RequestBytes(this);
    }

    /** Returns the bytes held or set aside for all requests. */
    public synchronized long held() {
        return mHeld;
    }

    /** Returns the bytes of bodies that are outstanding at a server. */
    public synchronized long outstanding(BackendId server) {
        return mServers.getOrDefault(server, 0L);
    }

    /** Returns the servers at which a body of this size does not fit. */
    public synchronized Set<BackendId> fullServers(long bytes) {
        return mServers.keySet().stream()
                .filter(server -> !fits(server, bytes))
                .collect(Collectors.toCollection(HashSet::new));
    }

    /** Takes bytes if they fit and returns whether they did. */
    synchronized boolean tryTake(long bytes) {
        boolean fits = bytes <= mBounds.totalBytes() - mHeld;
        if (fits) {
            mHeld += bytes;
        }
        return fits;
    }

    /** Returns whether a response may be read ahead by this many bytes. */
    synchronized boolean mayReadAhead(long bytes) {
        return mReadAhead + bytes <= mBounds.readAheadBytes()
                && bytes <= mBounds.totalBytes() - mHeld;
    }

    /** Changes the bytes of responses that were read ahead. */
    synchronized void addReadAhead(long bytes) {
        mHeld += bytes;
        mReadAhead += bytes;
    }

    synchronized void release(long bytes) {
        mHeld -= bytes;
    }

    /** Adds a body that is sent to a server if it fits there, and returns whether it did. */
    synchronized boolean trySend(BackendId server, long bytes) {
        boolean fits = fits(server, bytes);
        if (fits) {
            mServers.merge(server, bytes, Long::sum);
        }
        return fits;
    }

    /** Subtracts a body that is no longer outstanding at a server. */
    synchronized void sendEnded(BackendId server, long bytes) {
        mServers.computeIfPresent(server, (id, sum) -> sum <= bytes ? null : sum - bytes);
    }

    /** A body fits if nothing else is outstanding, however long it is: it could never be sent. */
    private boolean fits(BackendId server, long bytes) {
        long outstanding = mServers.getOrDefault(server, 0L);
        return outstanding == 0 || bytes <= mBounds.serverBytes() - outstanding;
    }
}
