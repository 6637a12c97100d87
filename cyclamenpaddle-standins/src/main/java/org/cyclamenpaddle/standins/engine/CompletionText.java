package org.cyclamenpaddle.standins.engine;

import java.util.List;
import java.util.stream.IntStream;
import org.cyclamenpaddle.core.text.PromptText;

/** The answer that every engine gives to a prompt: token i depends on prompt and i alone. */
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

    /** Returns token {@code index} of the answer to a prompt with {@code hash}. */
    public static String token(long hash, int index) {
        long mixed = (hash ^ (index * MIX)) * MIX;
        int word = Math.floorMod((int) (mixed >>> SHIFT), WORDS.size());
        return WORDS.get(word) + " ";
    }

    /**
     * Returns the length at which the answer to a prompt stops by itself.
     *
     * @param hash hash of the prompt
     * @param meanTokens mean length over all prompts; 0 if no answer stops by itself
     * @return tokens, from half the mean to one and a half of it
     */
    public static int length(long hash, int meanTokens) {
        if (meanTokens == 0) {
            return Integer.MAX_VALUE;
        }
        int spread = Math.floorMod((int) (hash * MIX >>> SHIFT), meanTokens + 1);
        return Math.max(1, meanTokens / 2 + spread);
    }

    /** Returns the whole answer to {@code prompt} of {@code tokens} tokens. */
    public static String generate(String prompt, int tokens) {
        long hash = PromptText.hash(prompt);
        StringBuilder text = new StringBuilder();
        IntStream.range(0, tokens).forEach(i -> text.append(token(hash, i)));
        return text.toString();
    }

    /** Returns whether {@code tokens} begin the answer to a prompt with {@code hash}. */
    static boolean begins(long hash, List<String> tokens) {
        return IntStream.range(0, tokens.size())
                .allMatch(i -> token(hash, i).equals(tokens.get(i)));
    }
}
