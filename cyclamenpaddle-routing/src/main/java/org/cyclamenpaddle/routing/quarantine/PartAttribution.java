package org.cyclamenpaddle.routing.quarantine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.message.LostRun;

/**
 * Attributes the ends of the backend servers of a service to parts of prompts.
 *
 * <p>The end of a server names no culprit, since every run on it is lost. A part is one if no run
 * with it has reached its end since the first server ended under it, while so many others have that
 * its share of the lost runs can hardly be chance (Fisher's exact test), and if no other part that
 * is not cleared explains more ends. So neither the part of most prompts is one, nor any part when
 * servers end for reasons of their own. Ends that a culprit explains count against no other part.
 * Not thread-safe.
 */
public final class PartAttribution {

    /**
     * A part under which servers end.
     *
     * @param part fingerprint of the part
     * @param servers incarnations that ended under it, the first of them if there are many
     * @param sinceMillis clock reading at the first of these ends
     * @param untilMillis clock reading until which requests with the part are refused
     * @param requests number of different requests with it that were lost
     * @param chance bound on the probability that any sound part has such a share of the lost runs
     */
    public record Culprit(
            long part,
            Set<BackendId> servers,
            long sinceMillis,
            long untilMillis,
            int requests,
            double chance) {

        public Culprit {
            servers = Set.copyOf(servers);
        }
    }

    /** Share of the ends of a part that another one has to explain to take its place. */
    private static final double MOST = 0.75;

    /** Maximum number of incarnations that a culprit names. */
    private static final int MAX_NAMED = 5;

    /** Maximum number of parts whose last good run is kept. */
    private static final int MAX_RUNS = 4_096;

    /** Maximum number of culprits that are kept. */
    private static final int MAX_FOUND = 64;

    private record End(long millis, Map<Long, List<Long>> lost) {

        int entries() {
            return lost.values().stream().mapToInt(List::size).sum();
        }

        boolean has(long part) {
            return lost.values().stream().anyMatch(parts -> parts.contains(part));
        }
    }

    private record Candidate(PartStrikes strikes, double chance) {}

    /** A culprit, with all ends that it explains. */
    private static final class Found {
        private final PartStrikes mStrikes;
        private final double mChance;
        private final Set<BackendId> mNamed;
        private final Set<BackendId> mExplained;
        private long mLengthMillis;
        private long mUntilMillis;

        Found(Candidate candidate, long lengthMillis, long nowMillis) {
            mStrikes = candidate.strikes();
            mChance = candidate.chance();
            mNamed =
                    mStrikes.servers().stream()
                            .sorted()
                            .limit(MAX_NAMED)
                            .collect(Collectors.toSet());
            mExplained = new HashSet<>(mStrikes.servers());
            mLengthMillis = lengthMillis;
            mUntilMillis = nowMillis + lengthMillis;
        }

        Culprit culprit() {
            return new Culprit(
                    mStrikes.part(),
                    mNamed,
                    mStrikes.sinceMillis(),
                    mUntilMillis,
                    mStrikes.requests().size(),
                    mChance);
        }
    }

    /**
     * The least likely by chance comes first. Of parts that are always together, the later one in
     * the prompt is shared by fewer requests.
     */
    private static final Comparator<Candidate> ORDER =
            Comparator.comparingDouble(Candidate::chance)
                    .thenComparing(candidate -> -candidate.strikes().depth())
                    .thenComparing(candidate -> candidate.strikes().part());

    private final PartAttributionSettings mSettings;
    private final Map<BackendId, End> mEnds = new LinkedHashMap<>();
    private final Deque<RunCount> mCompleted = new ArrayDeque<>();
    private final Map<Long, Long> mLastRuns = new LinkedHashMap<>();
    private final Map<Long, Found> mFound = new LinkedHashMap<>();

    private final List<Long> mAbsolved = new ArrayList<>();

    /** Suspected parts, and since when. */
    private final Map<Long, Long> mHeldSince = new HashMap<>();

    private int mEntries;

    /** Whether an end is new, or a part needs only more good runs of others to be a culprit. */
    private boolean mUndecided;

    /**
     * Creates an attribution without evidence.
     *
     * @param settings limits
     */
    public PartAttribution(PartAttributionSettings settings) {
        mSettings = settings;
    }

    /**
     * Records runs that were lost with a server; idempotent, in any order.
     *
     * @param server incarnation of the server
     * @param lost runs that may have ended it
     * @param nowMillis current clock reading
     */
    public void serverEnded(BackendId server, Collection<LostRun> lost, long nowMillis) {
        removeExpired(nowMillis);
        End end = mEnds.computeIfAbsent(server, any -> new End(nowMillis, new HashMap<>()));
        lost.stream()
                .filter(run -> end.lost().putIfAbsent(run.request(), run.parts()) == null)
                .forEach(run -> mEntries += run.parts().size());
        while (mEntries > mSettings.maxEntries() && mEnds.size() > 1) {
            removeOldest();
        }
        mUndecided = true;
    }

    /**
     * Records runs that have reached their end.
     *
     * @param runs number of runs
     * @param parts fingerprints of all parts of their prompts
     * @param nowMillis current clock reading
     */
    public void runsCompleted(int runs, Collection<Long> parts, long nowMillis) {
        removeExpired(nowMillis);
        mCompleted.add(new RunCount(nowMillis, runs));
        parts.forEach(part -> cleared(part, nowMillis));
    }

    /** Records that a run with a part has reached its end, which clears the part. */
    public void cleared(long part, long nowMillis) {
        mFound.remove(part);
        mHeldSince.remove(part);
        mLastRuns.remove(part);
        mLastRuns.put(part, nowMillis);
        if (mLastRuns.size() > MAX_RUNS) {
            removeFirst(mLastRuns.keySet().iterator());
        }
    }

    /** Returns whether no end of a server counts. */
    public boolean isEmpty(long nowMillis) {
        removeExpired(nowMillis);
        return mEnds.isEmpty();
    }

    /**
     * Returns the parts that are culprits by what was recorded since the last call, and earlier
     * ones under which another server has ended since.
     */
    public List<Culprit> culprits(long nowMillis) {
        removeExpired(nowMillis);
        if (!mUndecided) {
            return List.of();
        }
        List<Culprit> culprits = new ArrayList<>(renewed(nowMillis));
        List<Candidate> candidates = candidates();
        Optional<Candidate> first = culprit(candidates);
        while (first.isPresent()) {
            Found found = new Found(first.get(), mSettings.quarantineMillis(), nowMillis);
            mFound.put(found.mStrikes.part(), found);
            if (mFound.size() > MAX_FOUND) {
                removeFirst(mFound.keySet().iterator());
            }
            culprits.add(found.culprit());
            absolve();
            candidates = candidates();
            first = culprit(candidates);
        }
        mUndecided = !candidates.isEmpty();
        mHeldSince
                .keySet()
                .retainAll(candidates.stream().map(one -> one.strikes().part()).toList());
        candidates.stream()
                .filter(this::isSuspect)
                .forEach(one -> mHeldSince.putIfAbsent(one.strikes().part(), nowMillis));
        return culprits;
    }

    private Optional<Candidate> culprit(List<Candidate> candidates) {
        return candidates.stream()
                .filter(part -> part.strikes().servers().size() >= mSettings.minServers())
                .filter(part -> part.chance() <= mSettings.maxChance())
                .filter(part -> candidates.stream().noneMatch(other -> explains(other, part)))
                .findFirst();
    }

    /** Releases the culprits whose ends are explained by others that explain more of them. */
    private void absolve() {
        List<Long> absolved =
                mFound.values().stream()
                        .filter(this::isExplainedByOthers)
                        .map(found -> found.mStrikes.part())
                        .toList();
        mFound.keySet().removeAll(absolved);
        mAbsolved.addAll(absolved);
    }

    private boolean isExplainedByOthers(Found found) {
        Set<BackendId> ends = found.mStrikes.servers();
        Set<BackendId> explained =
                mFound.values().stream()
                        .filter(other -> other.mStrikes.servers().size() > ends.size())
                        .flatMap(other -> other.mExplained.stream())
                        .collect(Collectors.toSet());
        return ends.stream().filter(explained::contains).count() >= ends.size() * MOST;
    }

    /**
     * Returns the parts that were culprits and are not any more, since others explain their ends;
     * each once.
     */
    public List<Long> absolved() {
        List<Long> absolved = List.copyOf(mAbsolved);
        mAbsolved.clear();
        return absolved;
    }

    /** Returns whether one part explains more ends than another and most of those of that one. */
    private static boolean explains(Candidate candidate, Candidate other) {
        Set<BackendId> servers = candidate.strikes().servers();
        Set<BackendId> others = other.strikes().servers();
        long common = others.stream().filter(servers::contains).count();
        return servers.size() > others.size() && common >= others.size() * MOST;
    }

    /**
     * Returns the culprits under which another server has ended: a host has not received the
     * quarantine, or it is over.
     */
    private List<Culprit> renewed(long nowMillis) {
        return mFound.values().stream()
                .filter(this::explainsMore)
                .map(
                        found -> {
                            if (nowMillis >= found.mUntilMillis) {
                                found.mLengthMillis *= mSettings.quarantineFactor();
                                found.mUntilMillis = nowMillis + found.mLengthMillis;
                            }
                            return found.culprit();
                        })
                .toList();
    }

    private boolean explainsMore(Found found) {
        found.mExplained.retainAll(mEnds.keySet());
        List<BackendId> more =
                mEnds.entrySet().stream()
                        .filter(end -> !found.mExplained.contains(end.getKey()))
                        .filter(end -> end.getValue().has(found.mStrikes.part()))
                        .map(Map.Entry::getKey)
                        .toList();
        return found.mExplained.addAll(more);
    }

    private boolean isExplained(BackendId server) {
        return mFound.values().stream().anyMatch(found -> found.mExplained.contains(server));
    }

    private boolean isSuspect(Candidate candidate) {
        return candidate.chance() <= mSettings.suspectChance()
                || candidate.strikes().servers().size() >= mSettings.suspectServers();
    }

    /**
     * Returns parts that may be culprits, or are. Requests with them cost fewer servers if they are
     * held back until that is known, also by hosts that have not received a quarantine. If so many
     * servers end that nothing runs well, that alone lets runs reach their end again.
     */
    public Set<Long> suspects(long nowMillis) {
        removeExpired(nowMillis);
        return Stream.concat(mHeldSince.keySet().stream(), mFound.keySet().stream())
                .collect(Collectors.toUnmodifiableSet());
    }

    /** Returns the parts with several strikes, the least likely by chance first. */
    private List<Candidate> candidates() {
        Map<Long, PartStrikes> strikes = new HashMap<>();
        List<RunCount> lost = new ArrayList<>();
        mEnds.forEach(
                (server, end) -> {
                    if (!isExplained(server)) {
                        lost.add(new RunCount(end.millis(), end.lost().size()));
                        end.lost()
                                .forEach(
                                        (request, parts) ->
                                                strike(strikes, server, end, request, parts));
                    }
                });
        return strikes.values().stream()
                .filter(part -> part.servers().size() > 1)
                .filter(part -> part.requests().size() >= mSettings.minRequests())
                .map(
                        part ->
                                new Candidate(
                                        part,
                                        // Any of the parts may look like a culprit by chance.
                                        strikes.size() * part.chance(lost, mCompleted)))
                .sorted(ORDER)
                .toList();
    }

    private void strike(
            Map<Long, PartStrikes> strikes,
            BackendId server,
            End end,
            long request,
            List<Long> parts) {
        IntStream.range(0, parts.size())
                .filter(i -> mLastRuns.getOrDefault(parts.get(i), Long.MIN_VALUE) < end.millis())
                .forEach(
                        i ->
                                strikes.computeIfAbsent(
                                                parts.get(i),
                                                part ->
                                                        new PartStrikes(
                                                                part,
                                                                end.millis(),
                                                                mHeldSince.getOrDefault(
                                                                        part, Long.MAX_VALUE)))
                                        .add(server, end.millis(), request, i));
    }

    private void removeExpired(long nowMillis) {
        long oldest = nowMillis - mSettings.retentionMillis();
        while (!mEnds.isEmpty() && mEnds.values().iterator().next().millis() < oldest) {
            removeOldest();
        }
        while (!mCompleted.isEmpty() && mCompleted.peekFirst().millis() < oldest) {
            mCompleted.removeFirst();
        }
    }

    private void removeOldest() {
        Iterator<End> oldest = mEnds.values().iterator();
        mEntries -= oldest.next().entries();
        oldest.remove();
    }

    private static void removeFirst(Iterator<Long> first) {
        first.next();
        first.remove();
    }
}
