package org.cyclamenpaddle.fleet.claim;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.cyclamenpaddle.core.id.AttemptId;
import org.cyclamenpaddle.core.message.ClaimResponse;

/**
 * Bounded table of this host's bookings, from which queries about their keys are served.
 *
 * <p>When the table is full, the oldest finished call is evicted. From then on a key without a
 * record may belong to an evicted call, and is reported as {@link ClaimResponse.State#UNKNOWN} for
 * as long as callers may send it again. Not thread-safe.
 */
public final class BookingTable {

    private record Entry(BookingMachine machine, long startedMillis) {}

    private final int mMaxCalls;
    private final long mResendMillis;
    private final Map<AttemptId, Entry> mCalls = new LinkedHashMap<>();
    private final Map<ClaimKey, List<BookingMachine>> mByKey = new LinkedHashMap<>();
    private Optional<Long> mLatestEvictedMillis = Optional.empty();

    /**
     * Creates an empty table.
     *
     * @param maxCalls capacity in calls, running and finished
     * @param resendMillis how long callers may send a call again, in milliseconds
     */
    public BookingTable(int maxCalls, long resendMillis) {
        if (maxCalls < 1 || resendMillis < 0) {
            throw new IllegalArgumentException(
                    "calls "
                            + maxCalls
                            + " must be above 0, resend "
                            + resendMillis
                            + " ms must not be negative");
        }
        mMaxCalls = maxCalls;
        mResendMillis = resendMillis;
    }

    /** Adds a call that is about to start. */
    public void add(BookingMachine call, long nowMillis) {
        mCalls.put(call.claim().attempt(), new Entry(call, nowMillis));
        mByKey.computeIfAbsent(call.claim().key(), key -> new ArrayList<>()).add(call);
        if (mCalls.size() > mMaxCalls) {
            evictOldestFinished();
        }
    }

    /** Returns the call of an attempt. */
    public Optional<BookingMachine> call(AttemptId attempt) {
        return Optional.ofNullable(mCalls.get(attempt)).map(Entry::machine);
    }

    /**
     * Returns this host's record of a key.
     *
     * @param key the key
     * @param querying querying attempt of this host, which is excluded, if any
     * @param hostLost whether the records of another host were lost within the time in which
     *     callers may send a call again ({@code Membership.hostLostWithin}); a host that started
     *     after that loss cannot know of it and relies on this response
     */
    public ClaimResponse claimResponse(
            ClaimKey key, Optional<AttemptId> querying, boolean hostLost, long nowMillis) {
        return mByKey.getOrDefault(key, List.of()).stream()
                .filter(call -> querying.filter(call.claim().attempt()::equals).isEmpty())
                .map(BookingMachine::claimResponse)
                .min(Comparator.comparing(BookingTable::precedence))
                .orElseGet(() -> withoutRecord(hostLost, nowMillis));
    }

    /** Returns the number of calls in this table. */
    public int size() {
        return mCalls.size();
    }

    private ClaimResponse withoutRecord(boolean hostLost, long nowMillis) {
        boolean mayBeEvicted =
                mLatestEvictedMillis.filter(at -> nowMillis - at < mResendMillis).isPresent();
        return new ClaimResponse(
                hostLost || mayBeEvicted
                        ? ClaimResponse.State.UNKNOWN
                        : ClaimResponse.State.NO_RECORD,
                Optional.empty());
    }

    private void evictOldestFinished() {
        mCalls.values().stream()
                .filter(entry -> entry.machine().finished())
                .findFirst()
                .ifPresent(this::evict);
    }

    private void evict(Entry entry) {
        ClaimRecord claim = entry.machine().claim();
        mCalls.remove(claim.attempt());
        List<BookingMachine> rest =
                mByKey.get(claim.key()).stream()
                        .filter(call -> call != entry.machine())
                        .collect(Collectors.toCollection(ArrayList::new));
        if (rest.isEmpty()) {
            mByKey.remove(claim.key());
        } else {
            mByKey.put(claim.key(), rest);
        }
        if (entry.machine().claimResponse().state() != ClaimResponse.State.NOT_RUN) {
            long before = mLatestEvictedMillis.orElse(Long.MIN_VALUE);
            mLatestEvictedMillis = Optional.of(Math.max(before, entry.startedMillis()));
        }
    }

    private static int precedence(ClaimResponse response) {
        return switch (response.state()) {
            case RAN -> 0;
            case RUNNING -> 1;
            case UNKNOWN -> 2;
            case NOT_RUN -> 3;
            case NO_RECORD -> 4;
        };
    }
}
