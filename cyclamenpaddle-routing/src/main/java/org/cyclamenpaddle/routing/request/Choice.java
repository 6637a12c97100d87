package org.cyclamenpaddle.routing.request;

import org.cyclamenpaddle.core.id.BackendId;

/**
 * A backend server that a request may be placed on.
 *
 * @param backend the backend server
 * @param predictedMillis predicted time until its part of the work is done, from now
 * @param cachedTokens tokens of the prompt expected to be cached there; 0 for decode
 */
public record Choice(BackendId backend, long predictedMillis, int cachedTokens) {}
