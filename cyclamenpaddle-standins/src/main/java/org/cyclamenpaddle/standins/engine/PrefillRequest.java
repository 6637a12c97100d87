package org.cyclamenpaddle.standins.engine;

import java.util.List;

/**
 * Body of {@code POST /v1/prefill}.
 *
 * @param attempt attempt id
 * @param prompt prompt text
 * @param prior tokens of the completion that another engine generated
 * @param priority requests of higher priority are served first
 * @param timeoutMillis queue timeout, in real milliseconds; 0 for none
 */
record PrefillRequest(
        String attempt, String prompt, List<String> prior, int priority, long timeoutMillis) {

    PrefillRequest {
        if (attempt == null || prompt == null) {
            throw new IllegalArgumentException("prefill request must have an attempt and a prompt");
        }
        prior = prior == null ? List.of() : List.copyOf(prior);
    }
}
