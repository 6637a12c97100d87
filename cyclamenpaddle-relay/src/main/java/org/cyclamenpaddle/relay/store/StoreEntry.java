package org.cyclamenpaddle.relay.store;

import io.vavr.control.Either;

/**
 * Object of the store as read by this host.
 *
 * @param name its name
 * @param value its content; left: the reason that it cannot be used, including its removal
 * @param revision revision of its last change; 0 if it is not known
 * @param <T> type of the content
 */
public record StoreEntry<T>(String name, Either<String, T> value, long revision) {

    private static final String REMOVED = "removed from the store";

    /** Creates an entry whose revision is not known. */
    public StoreEntry(String name, Either<String, T> value) {
        this(name, value, 0);
    }

    /** Returns the entry of an object that was removed. */
    public static <T> StoreEntry<T> removed(String name) {
        return new StoreEntry<>(name, Either.left(REMOVED));
    }

    /** Returns whether the object exists and cannot be used. */
    public boolean isUnusable() {
        return value.isLeft() && !value.getLeft().equals(REMOVED);
    }

    public StoreEntry {
        if (name == null || value == null) {
            throw new IllegalArgumentException("entry needs a name and a value");
        }
    }
}
