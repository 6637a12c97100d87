package org.cyclamenpaddle.router.explain;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cyclamenpaddle.core.id.RequestId;
import org.cyclamenpaddle.core.time.Clock;

/**
 * Decisions of the latest requests; safe for use by many threads.
 *
 * <p>Both bounds hold always: the oldest request makes room for a new one, and decisions beyond the
 * bound of a request are counted but not kept. The lock is a leaf: nothing is called under it.
 */
public final class DecisionLog {

    private final Clock mClock;
    private final int mMaxDecisions;
    private final Map<RequestId, Entry> mEntries;

    /**
     * Creates an empty log.
     *
     * @param clock source of the time between decisions
     * @param maxRequests requests kept
     * @param maxDecisions decisions kept for each request
     */
    public DecisionLog(Clock clock, int maxRequests, int maxDecisions) {
        if (maxRequests < 1 || maxDecisions < 1) {
            throw new IllegalArgumentException(
                    "bounds must be above 0: " + maxRequests + ", " + maxDecisions);
        }
        mClock = clock;
        mMaxDecisions = maxDecisions;
        mEntries = new Bounded(maxRequests);
    }

    /**
     * Keeps a decision.
     *
     * @param request the request
     * @param step where in the way of the request
     * @param text what was decided and by which figures; never text of a prompt or body
     */
    public void record(RequestId request, DecisionStep step, String text) {
        long now = mClock.millis();
        synchronized (mEntries) {
            mEntries.computeIfAbsent(request, id -> new Entry(now)).add(now, step, text);
        }
    }

    /** Returns what was decided for a request; empty if it is not or no longer known. */
    public Optional<Explanation> explain(RequestId request) {
        synchronized (mEntries) {
            return Optional.ofNullable(mEntries.get(request))
                    .map(entry -> new Explanation(request, entry.mDecisions, entry.mLeft));
        }
    }

    /** Decisions of one request. */
    private final class Entry {

        private final long mStart;
        private final List<Decision> mDecisions = new ArrayList<>();
        private int mLeft;

        Entry(long start) {
            mStart = start;
        }

        void add(long now, DecisionStep step, String text) {
            if (mDecisions.size() == mMaxDecisions) {
                mLeft++;
                return;
            }
            mDecisions.add(new Decision(Math.max(0, now - mStart), step, text));
        }
    }

    /** Map in order of insertion that drops its oldest entry when it is full. */
    private static final class Bounded extends LinkedHashMap<RequestId, Entry> {

        private static final long serialVersionUID = 1L;

        private final int mBound;

        Bounded(int bound) {
            mBound = bound;
        }

        @Override
        protected boolean removeEldestEntry(Map.Entry<RequestId, Entry> eldest) {
            return size() > mBound;
        }
    }
}
