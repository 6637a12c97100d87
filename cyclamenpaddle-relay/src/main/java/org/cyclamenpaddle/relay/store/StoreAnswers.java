package org.cyclamenpaddle.relay.store;

import java.util.ArrayDeque;
import java.util.Deque;
import org.cyclamenpaddle.core.table.Table;
import org.cyclamenpaddle.core.table.TableOrder;

/**
 * Remembers when the store has answered this host, which shows other hosts that it was available.
 * Thread-safe.
 */
public final class StoreAnswers {

    /** Maximum number of answers remembered: those of at least half a minute. */
    static final int MAX_ANSWERS = 64;

    /** Minimum time between two answers that are remembered, in milliseconds. */
    static final long SPACING_MILLIS = 500;

    private record Answer(long asOfMillis, long arrivedMillis) {}

    private final Table<Deque<Answer>> mAnswers =
            new Table<>(TableOrder.STORE_ANSWERS, new ArrayDeque<>());

    /**
     * Records an answer.
     *
     * @param asOfMillis earliest time at which the store can have given it
     * @param arrivedMillis time at which the answer arrived
     */
    public void record(long asOfMillis, long arrivedMillis) {
        mAnswers.write(
                answers -> {
                    Answer last = answers.peekLast();
                    if (last != null && arrivedMillis - last.arrivedMillis() < SPACING_MILLIS) {
                        return;
                    }
                    answers.add(new Answer(asOfMillis, arrivedMillis));
                    if (answers.size() > MAX_ANSWERS) {
                        answers.remove();
                    }
                });
    }

    /** Forgets all answers: the store may be away from now on, whatever it has answered before. */
    public void recordFailure() {
        mAnswers.write(Deque::clear);
    }

    /**
     * Returns whether an answer was given and arrived within a time, and no call has failed since.
     */
    public boolean answered(long fromMillis, long toMillis) {
        return mAnswers.read(
                answers ->
                        answers.stream()
                                .anyMatch(
                                        answer ->
                                                answer.asOfMillis() >= fromMillis
                                                        && answer.arrivedMillis() <= toMillis));
    }
}
