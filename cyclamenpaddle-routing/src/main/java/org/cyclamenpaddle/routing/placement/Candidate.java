package org.cyclamenpaddle.routing.placement;

import org.cyclamenpaddle.core.id.BackendId;

/**
 * A backend server that a request could run on, with its prediction.
 *
 * @param backend the backend server
 * @param predictedMillis predicted time from now: for prefill until the end of the transfer, for
 *     decode until the first token
 * @param cachedTokens tokens of the prompt expected to be cached there; 0 for decode
 */
public record Candidate(BackendId backend, long predictedMillis, int cachedTokens) {}
