package org.cyclamenpaddle.standins.platform;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.cyclamenpaddle.core.time.Clock;

/** Host list whose changes become visible after a delay. Thread-safe. */
final class HostList {

    private final Clock mClock;
    private final Deque<Change> mPending = new ArrayDeque<>();
    private List<ListedHost> mVisible = List.of();

    HostList(Clock clock) {
        mClock = clock;
    }

    private record Change(long fromMillis, List<ListedHost> hosts) {}

    synchronized void set(List<ListedHost> hosts, long lagMillis) {
        mPending.addLast(new Change(mClock.millis() + lagMillis, List.copyOf(hosts)));
    }

    synchronized List<ListedHost> visible() {
        while (!mPending.isEmpty() && mPending.peekFirst().fromMillis() <= mClock.millis()) {
            mVisible = mPending.removeFirst().hosts();
        }
        return mVisible;
    }
}
