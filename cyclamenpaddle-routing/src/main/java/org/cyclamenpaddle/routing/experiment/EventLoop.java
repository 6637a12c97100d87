package org.cyclamenpaddle.routing.experiment;

import java.util.Comparator;
import java.util.PriorityQueue;
import org.cyclamenpaddle.core.time.VirtualClock;

/** Runs events in order of their virtual time; events of the same time run in insertion order. */
final class EventLoop {

    private record Event(long atMillis, long number, Runnable work) {}

    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::number));
    private final VirtualClock mClock = new VirtualClock(0);

    private long mNumber;

    long now() {
        return mClock.millis();
    }

    void after(long millis, Runnable work) {
        mEvents.add(new Event(now() + Math.max(0, millis), mNumber++, work));
    }

    /** Runs {@code work} immediately and then periodically. */
    void every(long millis, Runnable work) {
        work.run();
        after(millis, () -> every(millis, work));
    }

    void runUntil(long endMillis) {
        while (!mEvents.isEmpty() && mEvents.peek().atMillis() <= endMillis) {
            Event event = mEvents.poll();
            mClock.advanceTo(event.atMillis());
            event.work().run();
        }
    }
}
