package org.cyclamenpaddle.standins.engine;

/**
 * Body of {@code POST /v1/decode}.
 *
 * @param attempt attempt id
 * @param source where the prefill result lies
 * @param firstIndex index of the first token to generate
 * @param maxTokens most tokens of the whole answer, counted from index 0
 * @param priority greater is more urgent; every slot runs in every step, so it has no effect here
 * @param transferMillis longest transfer, in machine milliseconds
 */
record DecodeAsk(
        String attempt,
        Source source,
        int firstIndex,
        int maxTokens,
        int priority,
        long transferMillis) {

    DecodeAsk {
        if (attempt == null || source == null) {
            throw new IllegalArgumentException("decode needs an attempt and a source");
        }
        if (firstIndex < 0 || maxTokens < firstIndex) {
            throw new IllegalArgumentException(
                    "decode of tokens " + firstIndex + " to " + maxTokens + " is backwards");
        }
    }

    /** Address of an engine and the attempt whose result is fetched from it. */
    record Source(String address, int port, String attempt) {}
}
