package org.cyclamenpaddle.fleet.simulation;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Runs events in order of virtual time, and of scheduling where times are equal. */
final class EventQueue {

    private record Event(long atMillis, long number, Runnable work) {}

    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::number));
    private long mNow = 1_000;
    private long mNumber;

    long now() {
        return mNow;
    }

    void after(long millis, Runnable work) {
        mEvents.add(new Event(mNow + millis, mNumber++, work));
    }

    void every(long millis, Runnable work) {
        after(
                millis,
                () -> {
                    work.run();
                    every(millis, work);
                });
    }

    void runFor(long millis) {
        long end = mNow + millis;
        while (!mEvents.isEmpty() && mEvents.peek().atMillis() <= end) {
            Event event = mEvents.poll();
            mNow = event.atMillis();
            event.work().run();
        }
        mNow = end;
    }
}
