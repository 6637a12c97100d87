package org.cyclamenpaddle.routing.buffer;

/**
 * Bounds of an account of bytes.
 *
 * @param totalBytes most bytes that the process holds for all requests together
 * @param readAheadBytes most of them that are parts of responses read ahead of slow callers
 * @param responseBytes most bytes of one response that are read ahead; 0 to read nothing ahead
 * @param serverBytes most bytes of bodies outstanding at one server
 */
public record ByteBounds(
        long totalBytes, long readAheadBytes, long responseBytes, long serverBytes) {

    /** Bounds of a deployment that states none: nothing is refused and nothing is read ahead. */
    public static final ByteBounds UNBOUNDED = new ByteBounds(Long.MAX_VALUE, 0, 0, Long.MAX_VALUE);

    /** Share of a host's memory that the heap may take, as the start command sets it. */
    private static final double HEAP_SHARE = 0.36;

    /**
     * Share of the heap that is held for requests.
     *
     * <p>A body is on the heap twice while its parts are joined, one body at a time, and once more
     * in a direct buffer while it is written. A quarter of the heap leaves room for that and for
     * garbage; as direct buffers get half as much memory as the heap, it is half of theirs.
     */
    private static final double HELD_SHARE_OF_HEAP = 0.25;

    /**
     * Share of the account that responses may take when they are read ahead. The rest remains for
     * new requests, so that slow callers alone cannot cause refusals.
     */
    private static final double READ_AHEAD_SHARE = 0.5;

    /** Share of the account that one response may take: eight slow callers fill the read-ahead. */
    private static final double RESPONSE_SHARE = READ_AHEAD_SHARE / 8;

    /** Share of the account that one server may take, so that a slow one leaves room for others. */
    private static final double SERVER_SHARE = 0.25;

    private static final double BYTES_PER_MEGABYTE = 1 << 20;

    public ByteBounds {
        if (totalBytes <= 0 || readAheadBytes < 0 || responseBytes < 0 || serverBytes <= 0) {
            throw new IllegalArgumentException(
                    "bounds of bytes need a total and a server's part above 0, got "
                            + totalBytes
                            + ", "
                            + readAheadBytes
                            + ", "
                            + responseBytes
                            + " and "
                            + serverBytes);
        }
    }

    /**
     * Returns the bounds of a host.
     *
     * @param megabytes memory of the host, of which the heap takes 36% and direct buffers take 18%
     */
    public static ByteBounds ofMemory(double megabytes) {
        double total = megabytes * BYTES_PER_MEGABYTE * HEAP_SHARE * HELD_SHARE_OF_HEAP;
        return new ByteBounds(
                atLeastOne(total),
                (long) (total * READ_AHEAD_SHARE),
                (long) (total * RESPONSE_SHARE),
                atLeastOne(total * SERVER_SHARE));
    }

    private static long atLeastOne(double bytes) {
        return Math.max(1, (long) bytes);
    }
}
