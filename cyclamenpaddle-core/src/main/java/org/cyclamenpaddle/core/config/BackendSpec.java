package org.cyclamenpaddle.core.config;

import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.id.FailureDomain;

/**
 * A backend server as operators declare it.
 *
 * @param id its name
 * @param failureDomain where it stands
 * @param address IP number
 * @param port TCP port, 1 to 65535
 * @param slots requests it decodes (or calls it runs) at once
 * @param memoryPieces engine memory in pieces of {@value #TOKENS_PER_PIECE} tokens; 0 if plain
 * @param prefillTokensPerSecond rate of prefill of uncached tokens; 0 if it never prefills
 * @param tokenMillis time between tokens when decoding, in milliseconds; 0 if it never decodes
 * @param linkBytesPerSecond rate of the link that carries KV cache; 0 if plain
 * @param fencing whether it refuses an order with an old fencing number
 * @param leaving whether the operator asked it to drain
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

    /** Tokens whose KV cache fills one piece of engine memory. */
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
            throw new IllegalArgumentException("port " + port + " of " + id + " out of range");
        }
        if (slots < 1) {
            throw new IllegalArgumentException("slots " + slots + " of " + id + " must be above 0");
        }
        if (memoryPieces < 0
                || prefillTokensPerSecond < 0
                || tokenMillis < 0
                || linkBytesPerSecond < 0) {
            throw new IllegalArgumentException("negative capacity for " + id);
        }
        fencing = fencing == null ? FencingSupport.IGNORES : fencing;
    }

    /** Returns the memory pieces that {@code tokens} of KV cache fill, rounded up. */
    public static int piecesFor(long tokens) {
        return Math.toIntExact((tokens + TOKENS_PER_PIECE - 1) / TOKENS_PER_PIECE);
    }
}
