package org.cyclamenpaddle.fleet.simulation;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Event queue in virtual time; events with equal times run in order of scheduling. */
final class EventQueue {

    private record Event(long atMillis, long number, Runnable work) {}

    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::number));
    private long mNowMillis = 1_000;
    private long mNumber;

    long now() {
        return mNowMillis;
    }

    void after(long millis, Runnable work) {
        mEvents.add(new Event(mNowMillis + millis, mNumber++, work));
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
        long end = mNowMillis + millis;
        while (!mEvents.isEmpty() && mEvents.peek().atMillis() <= end) {
            Event event = mEvents.poll();
            mNowMillis = event.atMillis();
            event.work().run();
        }
        mNowMillis = end;
    }
}
