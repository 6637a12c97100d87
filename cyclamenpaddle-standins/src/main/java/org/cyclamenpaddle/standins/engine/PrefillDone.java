package org.cyclamenpaddle.standins.engine;

/** Answer of a computed prefill, as it crosses the wire. */
record PrefillDone(String attempt, int tokens, int cachedTokens, int pieces, long resultMillis) {}
