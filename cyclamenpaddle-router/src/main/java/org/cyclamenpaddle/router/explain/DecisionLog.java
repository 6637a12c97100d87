package org.cyclamenpaddle.router.explain;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cyclamenpaddle.core.id.RequestId;
import org.cyclamenpaddle.core.time.Clock;

/**
 * Bounded log of the decisions for the most recent requests. Thread-safe.
 *
 * <p>Both bounds always hold: the oldest request is evicted for a new one, and decisions beyond the
 * bound of a request are counted but not stored. The lock is a leaf lock: no other component is
 * called while it is held.
 */
public final class DecisionLog {

    private final Clock mClock;
    private final int mMaxDecisions;
    private final Map<RequestId, Entry> mEntries;

    /**
     * Creates an empty log.
     *
     * @param clock clock that measures the time between decisions
     * @param maxRequests maximum number of requests
     * @param maxDecisions maximum number of decisions for each request
     */
    public DecisionLog(Clock clock, int maxRequests, int maxDecisions) {
        if (maxRequests < 1 || maxDecisions < 1) {
            throw new IllegalArgumentException(
                    "expected bounds above 0, got " + maxRequests + ", " + maxDecisions);
        }
        mClock = clock;
        mMaxDecisions = maxDecisions;
        mEntries = new Bounded(maxRequests);
    }

    /**
     * Records a decision.
     *
     * @param request the request
     * @param step step at which the decision was made
     * @param text what was decided, with the figures it was based on; never contains text of a
     *     prompt or body
     */
    public void record(RequestId request, DecisionStep step, String text) {
        long now = mClock.millis();
        synchronized (mEntries) {
            mEntries.computeIfAbsent(request, id -> new Entry(now)).add(now, step, text);
        }
    }

    /** Returns the decisions for a request; empty if the request is unknown or has been evicted. */
    public Optional<Explanation> explain(RequestId request) {
        synchronized (mEntries) {
            return Optional.ofNullable(mEntries.get(request))
                    .map(entry -> new Explanation(request, entry.mDecisions, entry.mOmitted));
        }
    }

    /** Decisions of one request. */
    private final class Entry {

        private final long mStart;
        private final List<Decision> mDecisions = new ArrayList<>();
        private int mOmitted;

        Entry(long start) {
            mStart = start;
        }

        void add(long now, DecisionStep step, String text) {
            if (mDecisions.size() == mMaxDecisions) {
                mOmitted++;
                return;
            }
            mDecisions.add(new Decision(Math.max(0, now - mStart), step, text));
        }
    }

    /** Insertion-ordered map that evicts its oldest entry when it is full. */
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
