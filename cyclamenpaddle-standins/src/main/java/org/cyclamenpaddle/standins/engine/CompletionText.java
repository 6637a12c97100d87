package org.cyclamenpaddle.standins.engine;

import java.util.List;
import java.util.stream.IntStream;
import org.cyclamenpaddle.core.text.PromptText;

/**
 * Deterministic completion of a prompt, identical on every engine: token {@code i} depends only on
 * the prompt and {@code i}.
 */
public final class CompletionText {

    private static final List<String> WORDS =
            List.of(
                    "barley", "moist", "grade", "lot", "clean", "sieve", "protein", "bag", "rail",
                    "yard", "test", "valve", "tag", "round", "pass", "seal", "gauge", "refill",
                    "plant", "note", "sample", "husk", "malt", "kiln", "dock", "sheet", "desk",
                    "hose", "nozzle", "bracket", "site", "sign");
    private static final long MIX = 0x9E3779B97F4A7C15L;
    private static final int SHIFT = 32;

    private CompletionText() {}

    /** Returns token {@code index} of the completion of the prompt with {@code hash}. */
    public static String token(long hash, int index) {
        long mixed = (hash ^ (index * MIX)) * MIX;
        int word = Math.floorMod((int) (mixed >>> SHIFT), WORDS.size());
        return WORDS.get(word) + " ";
    }

    /**
     * Returns the length at which the completion of a prompt ends with a stop token.
     *
     * @param hash hash of the prompt
     * @param meanTokens mean length over all prompts; 0 if completions never stop before their
     *     limit
     * @return length in tokens, from 0.5 to 1.5 times the mean
     */
    public static int length(long hash, int meanTokens) {
        if (meanTokens == 0) {
            return Integer.MAX_VALUE;
        }
        int spread = Math.floorMod((int) (hash * MIX >>> SHIFT), meanTokens + 1);
        return Math.max(1, meanTokens / 2 + spread);
    }

    /** Returns the first {@code tokens} tokens of the completion of {@code prompt}. */
    public static String generate(String prompt, int tokens) {
        long hash = PromptText.hash(prompt);
        StringBuilder text = new StringBuilder();
        IntStream.range(0, tokens).forEach(i -> text.append(token(hash, i)));
        return text.toString();
    }

    /**
     * Returns whether the completion of the prompt with {@code hash} starts with {@code tokens}.
     */
    static boolean isPrefix(long hash, List<String> tokens) {
        return IntStream.range(0, tokens.size())
                .allMatch(i -> token(hash, i).equals(tokens.get(i)));
    }
}
