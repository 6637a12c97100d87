package org.cyclamenpaddle.routing.queue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.Optional;
import java.util.TreeSet;
import org.cyclamenpaddle.core.id.TeamName;
import org.cyclamenpaddle.core.outcome.RefusalReason;

/**
 * Bounded queue, fair between teams by start-time fair queueing.
 *
 * <p>Safeguard: a queue in order of arrival lets one team's burst make every other team late, and a
 * full queue of requests that can't be in time any more makes each new one late as well. Here a
 * team that sends much waits behind its own requests only, hopeless ones are refused first, and
 * when all have hope the team that waits with most for its weight loses its youngest. Not
 * thread-safe.
 *
 * @param <T> type of the waiting requests
 */
public final class FairQueue<T> {

    private record Entry<T>(Waiting<T> waiting, double startTag, double finishTag, long number) {

        private long hopelessAfter() {
            return waiting.hopelessAfterMillis();
        }
    }

    private static final class Team<T> {

        private final NavigableSet<Entry<T>> mEntries =
                new TreeSet<>(Comparator.comparingLong(Entry::number));
        private double mFinishTag;
    }

    private final int mMost;
    private final TeamShares mShares;
    private final NavigableSet<Entry<T>> mByTag =
            new TreeSet<>(
                    Comparator.<Entry<T>>comparingDouble(Entry::startTag)
                            .thenComparingLong(Entry::number));
    private final NavigableSet<Entry<T>> mByHope =
            new TreeSet<>(
                    Comparator.<Entry<T>>comparingLong(Entry::hopelessAfter)
                            .thenComparingLong(Entry::number));
    private final Map<T, Entry<T>> mByItem = new HashMap<>();
    private final Map<TeamName, Team<T>> mTeams = new HashMap<>();

    private double mVirtualTime;
    private long mNumber;

    /**
     * Creates an empty queue.
     *
     * @param most requests it holds
     * @param shares weights of the teams
     */
    public FairQueue(int most, TeamShares shares) {
        if (most < 1) {
            throw new IllegalArgumentException("bound " + most + " must be above 0");
        }
        mMost = most;
        mShares = shares;
    }

    /**
     * Adds a request; an item that waits already is left as it is.
     *
     * @param waiting the request
     * @param nowMillis reading of the clock
     * @return who is refused for it, maybe the request itself; empty if there was room
     */
    public List<Refused<T>> offer(Waiting<T> waiting, long nowMillis) {
        if (mByItem.containsKey(waiting.item())) {
            return List.of();
        }
        List<Refused<T>> refused = new ArrayList<>();
        if (waiting.hopeless(nowMillis)) {
            return List.of(refusal(waiting, RefusalReason.DEADLINE_UNREACHABLE));
        }
        if (mByItem.size() >= mMost) {
            refused.addAll(refuseHopeless(nowMillis));
        }
        add(waiting);
        if (mByItem.size() > mMost) {
            Entry<T> loser = youngestOfGreediest();
            remove(loser);
            refused.add(refusal(loser.waiting(), RefusalReason.QUEUE_FULL));
        }
        return refused;
    }

    /**
     * Refuses every request that can't be in time any more, oldest deadline first.
     *
     * @param nowMillis reading of the clock
     */
    public List<Refused<T>> refuseHopeless(long nowMillis) {
        List<Refused<T>> refused = new ArrayList<>();
        while (!mByHope.isEmpty() && mByHope.first().waiting().hopeless(nowMillis)) {
            Entry<T> entry = mByHope.first();
            remove(entry);
            refused.add(refusal(entry.waiting(), RefusalReason.DEADLINE_UNREACHABLE));
        }
        return refused;
    }

    /** Returns the request that is next; call {@link #refuseHopeless} before. */
    public Optional<T> peek() {
        return mByTag.isEmpty() ? Optional.empty() : Optional.of(mByTag.first().waiting().item());
    }

    /** Takes out the request that is next; call {@link #refuseHopeless} before. */
    public Optional<T> poll() {
        Entry<T> next = mByTag.pollFirst();
        if (next == null) {
            return Optional.empty();
        }
        mVirtualTime = Math.max(mVirtualTime, next.startTag());
        remove(next);
        return Optional.of(next.waiting().item());
    }

    /** Takes out a request whose caller has gone; returns whether it was waiting. */
    public boolean cancel(T item) {
        Entry<T> entry = mByItem.get(item);
        if (entry == null) {
            return false;
        }
        remove(entry);
        return true;
    }

    /** Returns the number of waiting requests. */
    public int size() {
        return mByItem.size();
    }

    /** Returns the number of waiting requests of one team. */
    public int size(TeamName team) {
        return mTeams.containsKey(team) ? mTeams.get(team).mEntries.size() : 0;
    }

    private void add(Waiting<T> waiting) {
        Team<T> team = mTeams.computeIfAbsent(waiting.team(), any -> new Team<>());
        double start = Math.max(mVirtualTime, team.mFinishTag);
        double finish = start + waiting.cost() / mShares.weight(waiting.team());
        Entry<T> entry = new Entry<>(waiting, start, finish, mNumber++);
        team.mFinishTag = finish;
        team.mEntries.add(entry);
        mByTag.add(entry);
        mByHope.add(entry);
        mByItem.put(waiting.item(), entry);
    }

    private void remove(Entry<T> entry) {
        mByTag.remove(entry);
        mByHope.remove(entry);
        mByItem.remove(entry.waiting().item());
        TeamName name = entry.waiting().team();
        Team<T> team = mTeams.get(name);
        if (entry == team.mEntries.last() && entry.startTag() > mVirtualTime) {
            team.mFinishTag = entry.startTag();
        }
        team.mEntries.remove(entry);
        forgetIdleTeams();
    }

    /** A team whose last finish has passed starts anew anyway, so nothing is lost with it. */
    private void forgetIdleTeams() {
        if (mTeams.size() > 2 * mMost || mByItem.isEmpty()) {
            mTeams.values()
                    .removeIf(team -> team.mEntries.isEmpty() && team.mFinishTag <= mVirtualTime);
        }
    }

    private Entry<T> youngestOfGreediest() {
        return mTeams.entrySet().stream()
                .filter(team -> !team.getValue().mEntries.isEmpty())
                .max(
                        Comparator.<Map.Entry<TeamName, Team<T>>>comparingDouble(
                                        team ->
                                                team.getValue().mEntries.size()
                                                        / mShares.weight(team.getKey()))
                                .thenComparing(Map.Entry::getKey))
                .orElseThrow()
                .getValue()
                .mEntries
                .last();
    }

    private static <T> Refused<T> refusal(Waiting<T> waiting, RefusalReason reason) {
        return new Refused<>(waiting.item(), reason);
    }
}
