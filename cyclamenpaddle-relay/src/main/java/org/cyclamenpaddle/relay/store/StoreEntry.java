package org.cyclamenpaddle.relay.store;

import io.vavr.control.Either;

/**
 * Object of the store as read by this host.
 *
 * @param name its name
 * @param value its content; left: the reason that it cannot be used, including its removal
 * @param <T> type of the content
 */
public record StoreEntry<T>(String name, Either<String, T> value) {

    public StoreEntry {
        if (name == null || value == null) {
            throw new IllegalArgumentException("entry needs a name and a value");
        }
    }
}
