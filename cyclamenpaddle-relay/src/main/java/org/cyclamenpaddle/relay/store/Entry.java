package org.cyclamenpaddle.relay.store;

import io.vavr.control.Either;

/**
 * One object of the store as this host reads it.
 *
 * @param name its name
 * @param value what it says; left: why it cannot be used, which includes that it was removed
 * @param <T> type of what objects of its kind say
 */
public record Entry<T>(String name, Either<String, T> value) {

    public Entry {
        if (name == null || value == null) {
            throw new IllegalArgumentException("entry needs a name and a value");
        }
    }
}
