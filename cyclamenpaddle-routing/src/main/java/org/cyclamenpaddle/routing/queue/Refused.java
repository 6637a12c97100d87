package org.cyclamenpaddle.routing.queue;

import org.cyclamenpaddle.core.outcome.RefusalReason;

/**
 * A request that left the queue unserved; its caller is owed this reason at once.
 *
 * @param item the request
 * @param reason why
 * @param <T> type of the request
 */
public record Refused<T>(T item, RefusalReason reason) {}
