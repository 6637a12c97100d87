package org.cyclamenpaddle.core.text;

import java.util.ArrayList;
import java.util.List;

/**
 * Estimates the token count and computes the block hashes of a prompt, identically in the router
 * and in engines.
 *
 * <p>The router has no tokenizer and assumes {@value #CHARS_PER_TOKEN} characters per token. Block
 * hashes are chained: barring collisions, equal hashes at index i mean equal text up to the end of
 * block i, which is the unit that a prefix cache reuses.
 */
public final class PromptText {

    /** Assumed number of characters per token. */
    public static final int CHARS_PER_TOKEN = 4;

    /** Tokens in one block of the prefix cache. */
    public static final int TOKENS_PER_BLOCK = 256;

    private static final int CHARS_PER_BLOCK = CHARS_PER_TOKEN * TOKENS_PER_BLOCK;
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private PromptText() {}

    /** Returns the estimated number of tokens in {@code text}, rounded up. */
    public static int tokens(String text) {
        return (text.length() + CHARS_PER_TOKEN - 1) / CHARS_PER_TOKEN;
    }

    /** Returns the chained hashes of the complete blocks of {@code prompt}; FNV-1a, 64 bits. */
    public static List<Long> blockHashes(String prompt) {
        List<Long> hashes = new ArrayList<>();
        long hash = FNV_OFFSET;
        for (int i = 0; i < prompt.length(); i++) {
            hash = (hash ^ prompt.charAt(i)) * FNV_PRIME;
            if ((i + 1) % CHARS_PER_BLOCK == 0) {
                hashes.add(hash);
            }
        }
        return hashes;
    }

    /** Returns the hash of the entire prompt; FNV-1a, 64 bits. */
    public static long hash(String prompt) {
        long hash = FNV_OFFSET;
        for (int i = 0; i < prompt.length(); i++) {
            hash = (hash ^ prompt.charAt(i)) * FNV_PRIME;
        }
        return hash;
    }
}
