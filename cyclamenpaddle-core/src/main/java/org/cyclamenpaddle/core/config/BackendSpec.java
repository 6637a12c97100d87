package org.cyclamenpaddle.core.config;

import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.id.FailureDomain;

/**
 * Declaration of a backend server by an operator.
 *
 * @param id its name
 * @param failureDomain its failure domain
 * @param address IP number
 * @param port TCP port, 1 to 65535
 * @param slots requests that it decodes, or calls that it runs, concurrently
 * @param memoryPieces engine memory in KV cache blocks of {@value #TOKENS_PER_PIECE} tokens; 0 if
 *     plain
 * @param prefillTokensPerSecond prefill throughput for uncached tokens; 0 if it never prefills
 * @param tokenMillis time between tokens when decoding, in milliseconds; 0 if it never decodes
 * @param linkBytesPerSecond bandwidth of the link over which KV cache is transferred; 0 if plain
 * @param fencing whether it rejects orders that carry a stale fencing token
 * @param leaving whether the operator requested that it drain
 */
public record BackendSpec(
        BackendId id,
        FailureDomain failureDomain,
        String address,
        int port,
        int slots,
        int memoryPieces,
        long prefillTokensPerSecond,
        long tokenMillis,
        long linkBytesPerSecond,
        FencingSupport fencing,
        boolean leaving) {

    /** Tokens per KV cache block. */
    public static final int TOKENS_PER_PIECE = 4_096;

    private static final int MAX_PORT = 65_535;

    public BackendSpec {
        if (id == null || failureDomain == null) {
            throw new IllegalArgumentException("backend server needs an id and a failure domain");
        }
        if (address == null || !address.matches("[0-9a-fA-F.:]+")) {
            throw new IllegalArgumentException(
                    "address '" + address + "' of " + id + " must be an IP number");
        }
        if (port < 1 || port > MAX_PORT) {
            throw new IllegalArgumentException(
                    "port " + port + " of " + id + " must be 1 to 65535");
        }
        if (slots < 1) {
            throw new IllegalArgumentException("slots " + slots + " of " + id + " must be above 0");
        }
        if (memoryPieces < 0
                || prefillTokensPerSecond < 0
                || tokenMillis < 0
                || linkBytesPerSecond < 0) {
            throw new IllegalArgumentException(
                    "memory, rates and times must not be negative: backend server " + id);
        }
        fencing = fencing == null ? FencingSupport.IGNORES : fencing;
    }

    /** Returns the number of blocks that the KV cache of {@code tokens} occupies, rounded up. */
    public static int piecesFor(long tokens) {
        return Math.toIntExact((tokens + TOKENS_PER_PIECE - 1) / TOKENS_PER_PIECE);
    }
}
