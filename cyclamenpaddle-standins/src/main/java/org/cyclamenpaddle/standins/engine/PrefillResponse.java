package org.cyclamenpaddle.standins.engine;

/** Response body of a completed {@code POST /v1/prefill}. */
record PrefillResponse(
        String attempt, int tokens, int cachedTokens, int pieces, long resultMillis) {}
