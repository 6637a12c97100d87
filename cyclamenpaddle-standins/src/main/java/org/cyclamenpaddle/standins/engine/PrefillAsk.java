package org.cyclamenpaddle.standins.engine;

import java.util.List;

/**
 * Body of {@code POST /v1/prefill}.
 *
 * @param attempt attempt id
 * @param prompt prompt text
 * @param prior tokens of the answer that were generated elsewhere
 * @param priority greater is served earlier
 * @param timeoutMillis longest wait before the computation starts, in machine milliseconds; 0 for
 *     no limit
 */
record PrefillAsk(
        String attempt, String prompt, List<String> prior, int priority, long timeoutMillis) {

    PrefillAsk {
        if (attempt == null || prompt == null) {
            throw new IllegalArgumentException("prefill needs an attempt and a prompt");
        }
        prior = prior == null ? List.of() : List.copyOf(prior);
    }
}
