package org.cyclamenpaddle.routing.quarantine;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.message.StrikeNotice;

/**
 * Tracks which requests were running on backend servers that crashed, and quarantines those that
 * crash them.
 *
 * <p>Safeguard: a request that crashes each server that runs it, and is sent again by its caller,
 * would crash the pool one server after the other. A single strike proves nothing, since twenty
 * requests get one when one server crashes. So a request with a strike runs on no server that
 * crashed with it and beside no other request with a strike: the next crash then identifies one
 * culprit, and its second strike excludes it from all servers. Not thread-safe.
 */
public final class Quarantine {

    private record Strikes(Set<BackendId> struck, long untilMillis) {

        private Strikes plus(Set<BackendId> more, long newUntilMillis) {
            Set<BackendId> union = new HashSet<>(struck);
            union.addAll(more);
            return new Strikes(Set.copyOf(union), Math.max(untilMillis, newUntilMillis));
        }
    }

    private static final Comparator<Map.Entry<Long, Strikes>> EVICTION_ORDER =
            Comparator.comparingInt(
                            (Map.Entry<Long, Strikes> entry) -> entry.getValue().struck().size())
                    .thenComparingLong(entry -> entry.getValue().untilMillis())
                    .thenComparingLong(Map.Entry::getKey);

    private final QuarantineSettings mSettings;
    private final Map<Long, Strikes> mStrikes = new HashMap<>();

    /** Fingerprints that were quarantined until recently, with the time until which that counts. */
    private final Map<Long, Long> mReleased = new HashMap<>();

    private final Map<BackendId, Map<Long, Integer>> mRunning = new HashMap<>();

    /**
     * Creates a quarantine without strikes.
     *
     * @param settings limits
     */
    public Quarantine(QuarantineSettings settings) {
        mSettings = settings;
    }

    /**
     * Counts a request as running on a backend server.
     *
     * @param fingerprint hash of service and prompt
     * @param backend the backend server
     */
    public void started(long fingerprint, BackendId backend) {
        mRunning.computeIfAbsent(backend, any -> new HashMap<>())
                .merge(fingerprint, 1, Integer::sum);
    }

    /**
     * Stops counting a request as running on a backend server.
     *
     * @param fingerprint hash of service and prompt
     * @param backend the backend server
     */
    public void ended(long fingerprint, BackendId backend) {
        mRunning.computeIfPresent(
                backend,
                (id, running) -> {
                    running.computeIfPresent(
                            fingerprint, (print, count) -> count == 1 ? null : count - 1);
                    return running.isEmpty() ? null : running;
                });
    }

    /** Returns the fingerprints of this host's requests that run on a backend server. */
    public Set<Long> runningOn(BackendId backend) {
        return Set.copyOf(mRunning.getOrDefault(backend, Map.of()).keySet());
    }

    /**
     * Records a strike for the requests that were on a backend server when it crashed.
     *
     * @param backend the backend server
     * @param fingerprints requests that were running on it
     * @param nowMillis current clock reading
     * @return notices to send to peers
     */
    public List<StrikeNotice> onBackendCrashed(
            BackendId backend, Collection<Long> fingerprints, long nowMillis) {
        removeExpired(nowMillis);
        Set<Long> distinct = new HashSet<>(fingerprints);
        long until = nowMillis + mSettings.retentionMillis();
        distinct.forEach(fingerprint -> strike(fingerprint, Set.of(backend), until));
        evictExcess();
        return distinct.stream()
                .sorted()
                .flatMap(fingerprint -> notice(fingerprint, nowMillis).stream())
                .toList();
    }

    /**
     * Merges a notice of a peer; commutative and idempotent.
     *
     * @param notice notice of a peer
     * @param nowMillis current clock reading
     */
    public void merge(StrikeNotice notice, long nowMillis) {
        removeExpired(nowMillis);
        if (notice.remainingMillis() <= 0 || notice.crashedBackends().isEmpty()) {
            return;
        }
        long remaining = Math.min(notice.remainingMillis(), mSettings.retentionMillis());
        strike(notice.fingerprint(), notice.crashedBackends(), nowMillis + remaining);
        evictExcess();
    }

    /**
     * Merges the quarantine of a request that a host has written down some time ago.
     *
     * <p>One that has ended here is ignored for as long as hosts may still hold it: with remaining
     * times that are outdated by then, they would renew it among themselves forever.
     *
     * @param notice the strikes as they were written down
     * @param nowMillis current clock reading
     */
    public void mergeRecorded(StrikeNotice notice, long nowMillis) {
        removeExpired(nowMillis);
        if (!mReleased.containsKey(notice.fingerprint())
                && quarantinedMillis(notice.fingerprint(), nowMillis).isEmpty()) {
            merge(notice, nowMillis);
        }
    }

    /**
     * Removes the strikes of a request that has run to its end, which a culprit never does.
     *
     * @return whether there were any
     */
    public boolean forget(long fingerprint, long nowMillis) {
        Optional<Strikes> strikes = strikes(fingerprint, nowMillis);
        strikes.filter(this::reachesLimit).ifPresent(any -> release(fingerprint, nowMillis));
        return mStrikes.remove(fingerprint) != null;
    }

    /** Removes what has expired and returns the fingerprints that were quarantined until then. */
    public List<Long> expire(long nowMillis) {
        List<Long> expired =
                mStrikes.entrySet().stream()
                        .filter(entry -> entry.getValue().untilMillis() <= nowMillis)
                        .filter(entry -> reachesLimit(entry.getValue()))
                        .map(Map.Entry::getKey)
                        .toList();
        removeExpired(nowMillis);
        return expired;
    }

    /** Returns whether no request has a strike. */
    public boolean isEmpty() {
        return mStrikes.isEmpty();
    }

    /** Returns notices of the strikes of all quarantined requests. */
    public List<StrikeNotice> quarantined(long nowMillis) {
        return notices(nowMillis).stream()
                .filter(notice -> quarantinedMillis(notice.fingerprint(), nowMillis).isPresent())
                .toList();
    }

    /** Returns the notice of the strikes of a request; empty if it has none. */
    public Optional<StrikeNotice> noticeOf(long fingerprint, long nowMillis) {
        return notice(fingerprint, nowMillis);
    }

    /**
     * Decides whether a request may run on a backend server.
     *
     * @param fingerprint hash of service and prompt
     * @param backend the backend server
     * @param nowMillis current clock reading
     */
    public Verdict mayRun(long fingerprint, BackendId backend, long nowMillis) {
        Optional<Strikes> strikes = strikes(fingerprint, nowMillis);
        if (strikes.isEmpty()) {
            return Verdict.MAY_RUN;
        }
        if (reachesLimit(strikes.get())) {
            return Verdict.QUARANTINED;
        }
        boolean crashedThere = strikes.get().struck().contains(backend);
        boolean otherStruck =
                mRunning.getOrDefault(backend, Map.of()).keySet().stream()
                        .filter(other -> other != fingerprint)
                        .anyMatch(other -> strikes(other, nowMillis).isPresent());
        return crashedThere || otherStruck ? Verdict.OTHER_BACKEND : Verdict.MAY_RUN;
    }

    /**
     * Returns the remaining quarantine of a request, in milliseconds; empty if it is not
     * quarantined.
     */
    public Optional<Long> quarantinedMillis(long fingerprint, long nowMillis) {
        return strikes(fingerprint, nowMillis)
                .filter(this::reachesLimit)
                .map(strikes -> strikes.untilMillis() - nowMillis);
    }

    /** Returns notices of all strikes, for a host that has just started. */
    public List<StrikeNotice> notices(long nowMillis) {
        return mStrikes.keySet().stream()
                .sorted()
                .flatMap(fingerprint -> notice(fingerprint, nowMillis).stream())
                .toList();
    }

    private Optional<StrikeNotice> notice(long fingerprint, long nowMillis) {
        return strikes(fingerprint, nowMillis)
                .map(
                        strikes ->
                                new StrikeNotice(
                                        fingerprint,
                                        strikes.struck(),
                                        strikes.untilMillis() - nowMillis));
    }

    private Optional<Strikes> strikes(long fingerprint, long nowMillis) {
        return Optional.ofNullable(mStrikes.get(fingerprint))
                .filter(strikes -> strikes.untilMillis() > nowMillis);
    }

    private boolean reachesLimit(Strikes strikes) {
        return strikes.struck().size() >= mSettings.strikesToQuarantine();
    }

    private void strike(long fingerprint, Set<BackendId> struck, long untilMillis) {
        Strikes fresh = new Strikes(Set.copyOf(struck), untilMillis);
        mStrikes.merge(fingerprint, fresh, (old, more) -> old.plus(struck, untilMillis));
    }

    private void removeExpired(long nowMillis) {
        mStrikes.entrySet()
                .removeIf(
                        entry -> {
                            boolean expired = entry.getValue().untilMillis() <= nowMillis;
                            if (expired && reachesLimit(entry.getValue())) {
                                release(entry.getKey(), nowMillis);
                            }
                            return expired;
                        });
        mReleased.values().removeIf(until -> until <= nowMillis);
    }

    private void release(long fingerprint, long nowMillis) {
        if (mReleased.size() < mSettings.maxFingerprints()) {
            mReleased.put(fingerprint, nowMillis + mSettings.retentionMillis());
        }
    }

    private void evictExcess() {
        while (mStrikes.size() > mSettings.maxFingerprints()) {
            mStrikes.entrySet().stream()
                    .min(EVICTION_ORDER)
                    .map(Map.Entry::getKey)
                    .ifPresent(mStrikes::remove);
        }
    }
}
