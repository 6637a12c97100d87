package org.cyclamenpaddle.relay.crash;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import org.cyclamenpaddle.core.id.ServiceName;
import org.cyclamenpaddle.core.message.PartRunNotice;
import org.cyclamenpaddle.core.message.PartStrikeNotice;

/**
 * What a host knows of the parts of the prompts of a service while it is tracked: its good runs,
 * the runs it has lost lately, and the suspected parts.
 *
 * <p>Not thread-safe.
 */
final class PartRuns {

    /** Time for which a part stays suspected without a further notice, in milliseconds. */
    private static final long SUSPICION_MILLIS = 5_000;

    /** Maximum number of parts in a report; runs beyond it are not reported. */
    private static final int MAX_REPORTED = 512;

    /** Number of strikes that are sent with each new one. */
    private static final int MAX_RESENT = 8;

    /** Maximum age of such a strike, in milliseconds. */
    private static final long RESENT_MILLIS = 10_000;

    /** Maximum number of parts that have run well that a host remembers. */
    private static final int MAX_REMEMBERED = 4_096;

    private record Strike(PartStrikeNotice notice, long millis) {}

    private final Map<Long, Long> mLast = bounded();
    private final Set<Long> mUnreported = new HashSet<>();
    private final Map<Long, Long> mNextTrial = bounded();
    private final Deque<Strike> mStrikes = new ArrayDeque<>();
    private Set<Long> mSuspects = Set.of();
    private int mCount;
    private long mUntilMillis;
    private long mSuspectedMillis;

    /** Returns a map from which the oldest entries are dropped. */
    private static Map<Long, Long> bounded() {
        return new LinkedHashMap<>() {
            @Override
            protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
                return size() > MAX_REMEMBERED;
            }
        };
    }

    /** Adds a good run. */
    void add(Collection<Long> parts, long nowMillis) {
        parts.forEach(
                part -> {
                    mLast.remove(part);
                    mLast.put(part, nowMillis);
                });
        if (mUnreported.size() + parts.size() <= MAX_REPORTED) {
            mUnreported.addAll(parts);
            mCount++;
        }
    }

    /** Tracks the service until a clock reading at least. */
    void extend(long untilMillis) {
        mUntilMillis = Math.max(mUntilMillis, untilMillis);
    }

    /** Returns whether the time of tracking is over. */
    boolean isOver(long nowMillis) {
        return mUntilMillis <= nowMillis;
    }

    /** Returns whether a part has run well after a clock reading. */
    boolean hasRun(long part, long sinceMillis) {
        return mLast.getOrDefault(part, sinceMillis) > sinceMillis;
    }

    /**
     * Adds a strike and returns the latest ones with it, since an owner may have started since or
     * lost a message.
     */
    List<PartStrikeNotice> strike(PartStrikeNotice notice, long nowMillis) {
        mStrikes.add(new Strike(notice, nowMillis));
        mStrikes.removeIf(strike -> strike.millis() < nowMillis - RESENT_MILLIS);
        if (mStrikes.size() > MAX_RESENT) {
            mStrikes.removeFirst();
        }
        return mStrikes.stream().map(Strike::notice).toList();
    }

    /** Replaces the suspected parts. */
    void suspect(Set<Long> parts, long nowMillis) {
        mSuspects = parts;
        mSuspectedMillis = nowMillis;
    }

    /**
     * Returns whether a request may be sent now, and takes the turns of its suspected parts if so.
     *
     * @param holdMillis time until the next turn of a part
     */
    boolean mayRun(List<Long> parts, long nowMillis, LongSupplier holdMillis) {
        if (nowMillis > mSuspectedMillis + SUSPICION_MILLIS) {
            mSuspects = Set.of();
        }
        List<Long> suspects = parts.stream().filter(mSuspects::contains).toList();
        boolean due =
                suspects.stream()
                        .map(
                                part ->
                                        mNextTrial.computeIfAbsent(
                                                part, any -> nowMillis + holdMillis.getAsLong()))
                        .allMatch(next -> next <= nowMillis);
        if (due) {
            suspects.forEach(part -> mNextTrial.put(part, nowMillis + holdMillis.getAsLong()));
        }
        return due;
    }

    /** Returns whether any of the parts is suspected. */
    boolean isSuspect(List<Long> parts) {
        return parts.stream().anyMatch(mSuspects::contains);
    }

    /** Returns what was not reported yet. */
    PartRunNotice report(ServiceName service) {
        PartRunNotice report = new PartRunNotice(service, mCount, mUnreported);
        mUnreported.clear();
        mCount = 0;
        return report;
    }
}
