package org.cyclamenpaddle.routing.request;

import org.cyclamenpaddle.core.id.BackendId;

/**
 * A backend server that a request may be placed on.
 *
 * @param backend the backend server
 * @param predictedMillis when its part of the work is predicted to be done, from now
 * @param uncachedTokens for prefill: tokens to compute; for decode: tokens expected to come
 * @param holdMillis how long the work is expected to hold its room
 */
public record Choice(
        BackendId backend, long predictedMillis, int uncachedTokens, long holdMillis) {}
