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
 * The keyed calls of this host, kept for asks about their keys.
 *
 * <p>The oldest finished calls make room for new ones. From then on a key without a record may be
 * one that was dropped, and is answered with {@link ClaimResponse.State#UNKNOWN} for as long as
 * callers may send it again. Not thread-safe.
 */
public final class BookingTable {

    private record Entry(BookingMachine machine, long startedMillis) {}

    private final int mMaxCalls;
    private final long mResendMillis;
    private final Map<AttemptId, Entry> mCalls = new LinkedHashMap<>();
    private final Map<ClaimKey, List<BookingMachine>> mByKey = new LinkedHashMap<>();
    private Optional<Long> mNewestDroppedMillis = Optional.empty();

    /**
     * Creates an empty table.
     *
     * @param maxCalls how many finished and running calls are kept
     * @param resendMillis for how long callers send a call again
     */
    public BookingTable(int maxCalls, long resendMillis) {
        if (maxCalls < 1 || resendMillis < 0) {
            throw new IllegalArgumentException(
                    "calls " + maxCalls + " must be above 0, resend " + resendMillis + " ms not");
        }
        mMaxCalls = maxCalls;
        mResendMillis = resendMillis;
    }

    /** Keeps a call from its start on. */
    public void add(BookingMachine call, long nowMillis) {
        mCalls.put(call.claim().attempt(), new Entry(call, nowMillis));
        mByKey.computeIfAbsent(call.claim().key(), key -> new ArrayList<>()).add(call);
        if (mCalls.size() > mMaxCalls) {
            dropOldestFinished();
        }
    }

    /** Returns the call of an attempt. */
    public Optional<BookingMachine> call(AttemptId attempt) {
        return Optional.ofNullable(mCalls.get(attempt)).map(Entry::machine);
    }

    /**
     * Returns what this host knows of a key.
     *
     * @param key the key
     * @param asking attempt of this host that asks and is left out, if any
     * @param lostLately whether the memory of another host was lost within the time in which
     *     callers send a call again ({@code Membership.hostLostWithin}); a host that was started
     *     since asks this one because it can't know of that loss
     */
    public ClaimResponse claimResponse(
            ClaimKey key, Optional<AttemptId> asking, boolean lostLately, long nowMillis) {
        return mByKey.getOrDefault(key, List.of()).stream()
                .filter(call -> asking.filter(call.claim().attempt()::equals).isEmpty())
                .map(BookingMachine::claimResponse)
                .min(Comparator.comparing(BookingTable::rank))
                .orElseGet(() -> withoutRecord(lostLately, nowMillis));
    }

    /** Returns how many calls are kept. */
    public int size() {
        return mCalls.size();
    }

    private ClaimResponse withoutRecord(boolean lostLately, long nowMillis) {
        boolean maybeDropped =
                mNewestDroppedMillis.filter(at -> nowMillis - at < mResendMillis).isPresent();
        return new ClaimResponse(
                lostLately || maybeDropped
                        ? ClaimResponse.State.UNKNOWN
                        : ClaimResponse.State.NO_RECORD,
                Optional.empty());
    }

    private void dropOldestFinished() {
        mCalls.values().stream()
                .filter(entry -> entry.machine().finished())
                .findFirst()
                .ifPresent(this::drop);
    }

    private void drop(Entry entry) {
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
            long before = mNewestDroppedMillis.orElse(Long.MIN_VALUE);
            mNewestDroppedMillis = Optional.of(Math.max(before, entry.startedMillis()));
        }
    }

    private static int rank(ClaimResponse answer) {
        return switch (answer.state()) {
            case RAN -> 0;
            case RUNNING -> 1;
            case UNKNOWN -> 2;
            case NOT_RUN -> 3;
            case NO_RECORD -> 4;
        };
    }
}
