package org.cyclamenpaddle.routing.placement;

import org.cyclamenpaddle.core.id.BackendId;

/**
 * A backend server that a request could run on.
 *
 * @param backend the backend server
 * @param predictedMillis from now: for prefill until the transfer has ended, for decode until the
 *     first token
 * @param cachedTokens tokens of the prompt believed to be cached there; 0 for decode
 */
public record Candidate(BackendId backend, long predictedMillis, int cachedTokens) {}
