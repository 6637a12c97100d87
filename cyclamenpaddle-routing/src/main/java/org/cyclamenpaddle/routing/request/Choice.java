package org.cyclamenpaddle.routing.request;

import org.cyclamenpaddle.core.id.BackendId;

/**
 * A backend server that a request may be placed on.
 *
 * @param backend the backend server
 * @param predictedMillis when its part of the work is predicted to be done, from now
 * @param cachedTokens tokens of the prompt believed to be cached there; 0 for decode
 */
public record Choice(BackendId backend, long predictedMillis, int cachedTokens) {}
