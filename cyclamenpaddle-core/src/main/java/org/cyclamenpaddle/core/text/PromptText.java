package org.cyclamenpaddle.core.text;

import java.util.ArrayList;
import java.util.List;

/**
 * Token estimates and block hashes of a prompt, computed alike by the router and by engines.
 *
 * <p>The router has no tokenizer; it takes {@value #CHARS_PER_TOKEN} characters for a token. Block
 * hashes are chained: equal hashes at index i mean, but for collisions, equal text up to the end of
 * block i, which is what a prefix cache reuses.
 */
public final class PromptText {

    /** Characters taken for one token. */
    public static final int CHARS_PER_TOKEN = 4;

    /** Tokens in one block of the prefix cache. */
    public static final int TOKENS_PER_BLOCK = 256;

    private static final int CHARS_PER_BLOCK = CHARS_PER_TOKEN * TOKENS_PER_BLOCK;
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private PromptText() {}

    /** Returns the estimated tokens of {@code text}, rounded up. */
    public static int tokens(String text) {
        return (text.length() + CHARS_PER_TOKEN - 1) / CHARS_PER_TOKEN;
    }

    /** Returns the chained hashes of the whole blocks of {@code prompt}; FNV-1a, 64 bits. */
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

    /** Returns the hash of the whole prompt; FNV-1a, 64 bits. */
    public static long hash(String prompt) {
        long hash = FNV_OFFSET;
        for (int i = 0; i < prompt.length(); i++) {
            hash = (hash ^ prompt.charAt(i)) * FNV_PRIME;
        }
        return hash;
    }
}
