package org.cyclamenpaddle.standins.engine;

/**
 * Body of {@code POST /v1/decode}.
 *
 * @param attempt attempt id
 * @param source engine and attempt that hold the prefill result
 * @param firstIndex index of the first token to generate
 * @param maxTokens maximum length of the completion in tokens, counted from index 0
 * @param priority higher is more urgent; every slot runs in every step, so it has no effect here
 * @param transferMillis timeout of the KV cache transfer, in real milliseconds
 */
record DecodeRequest(
        String attempt,
        Source source,
        int firstIndex,
        int maxTokens,
        int priority,
        long transferMillis) {

    DecodeRequest {
        if (attempt == null || source == null) {
            throw new IllegalArgumentException("decode request must have an attempt and a source");
        }
        if (firstIndex < 0 || maxTokens < firstIndex) {
            throw new IllegalArgumentException(
                    "bad token range: firstIndex "
                            + firstIndex
                            + ", maxTokens "
                            + maxTokens
                            + "; expected 0 <= firstIndex <= maxTokens");
        }
    }

    /** Address of an engine and the attempt whose prefill result is fetched from it. */
    record Source(String address, int port, String attempt) {}
}
