package org.cyclamenpaddle.core.table;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import java.util.function.Function;
import org.cyclamenpaddle.core.invariant.Invariants;

/**
 * Shared state guarded by a lock that is part of a global lock order.
 *
 * <p>Acquiring the lock asserts the order of {@link TableOrder}. A violation is detected by the
 * first thread that commits it, not only when two threads actually deadlock.
 *
 * @param <T> type of the guarded value
 */
public final class Table<T> {

    private static final ThreadLocal<Deque<TableOrder>> HELD =
            ThreadLocal.withInitial(ArrayDeque::new);

    private final TableOrder mOrder;
    private final T mValue;
    private final ReentrantLock mLock = new ReentrantLock();

    /**
     * Creates a table.
     *
     * @param order position in the lock order
     * @param value the guarded value; must be accessed only through this table
     */
    public Table(TableOrder order, T value) {
        mOrder = order;
        mValue = value;
    }

    /**
     * Runs {@code work} on the value under the lock and returns its result.
     *
     * @param work must not retain the value, block or invoke foreign code
     * @param <R> type of the result
     */
    public <R> R read(Function<T, R> work) {
        Deque<TableOrder> held = HELD.get();
        TableOrder last = held.peek();
        boolean reentrant = mLock.isHeldByCurrentThread();
        Invariants.require(
                reentrant || last == null || last.compareTo(mOrder) < 0,
                () -> "lock of table " + mOrder + " acquired while holding the lock of " + last);
        mLock.lock();
        held.push(mOrder);
        try {
            return work.apply(mValue);
        } finally {
            held.pop();
            mLock.unlock();
        }
    }

    /**
     * Runs {@code work} on the value under the lock.
     *
     * @param work must not retain the value, block or invoke foreign code
     */
    public void write(Consumer<T> work) {
        read(
                value -> {
                    work.accept(value);
                    return null;
                });
    }
}
