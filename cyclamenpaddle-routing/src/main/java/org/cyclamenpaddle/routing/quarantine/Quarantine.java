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
 * Remembers which requests were on backend servers when those died.
 *
 * <p>Safeguard: a request that crashes each server that runs it, and is sent again by its caller,
 * would take the pool down one server after the other. A strike alone proves nothing, for twenty
 * requests are struck when one server dies. So a struck request runs on no server that died with it
 * and beside no other struck request: the next crash then names one culprit, and its second strike
 * keeps it off every server. Not thread-safe.
 */
public final class Quarantine {

    private record Strikes(Set<BackendId> struck, long untilMillis) {

        private Strikes plus(Set<BackendId> more, long newUntilMillis) {
            Set<BackendId> union = new HashSet<>(struck);
            union.addAll(more);
            return new Strikes(Set.copyOf(union), Math.max(untilMillis, newUntilMillis));
        }
    }

    private static final Comparator<Map.Entry<Long, Strikes>> LEAST_TELLING_FIRST =
            Comparator.comparingInt(
                            (Map.Entry<Long, Strikes> entry) -> entry.getValue().struck().size())
                    .thenComparingLong(entry -> entry.getValue().untilMillis())
                    .thenComparingLong(Map.Entry::getKey);

    private final QuarantineSettings mSettings;
    private final Map<Long, Strikes> mStrikes = new HashMap<>();
    private final Map<BackendId, Map<Long, Integer>> mRunning = new HashMap<>();

    /**
     * Creates a quarantine with no strikes.
     *
     * @param settings bounds
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
     * Counts a request as running on a backend server no more.
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

    /** Returns the fingerprints that this host runs on a backend server. */
    public Set<Long> runningOn(BackendId backend) {
        return Set.copyOf(mRunning.getOrDefault(backend, Map.of()).keySet());
    }

    /**
     * Strikes the requests that were on a backend server when it died.
     *
     * @param backend the backend server
     * @param fingerprints requests that were on it
     * @param nowMillis reading of the clock
     * @return what peers must be told
     */
    public List<StrikeNotice> onBackendCrashed(
            BackendId backend, Collection<Long> fingerprints, long nowMillis) {
        forgetExpired(nowMillis);
        Set<Long> distinct = new HashSet<>(fingerprints);
        long until = nowMillis + mSettings.retentionMillis();
        distinct.forEach(fingerprint -> strike(fingerprint, Set.of(backend), until));
        bound();
        return distinct.stream()
                .sorted()
                .flatMap(fingerprint -> notice(fingerprint, nowMillis).stream())
                .toList();
    }

    /**
     * Takes in what a peer knows; commutative and idempotent.
     *
     * @param notice from a peer
     * @param nowMillis reading of the clock
     */
    public void merge(StrikeNotice notice, long nowMillis) {
        forgetExpired(nowMillis);
        if (notice.remainingMillis() <= 0 || notice.crashedBackends().isEmpty()) {
            return;
        }
        long remaining = Math.min(notice.remainingMillis(), mSettings.retentionMillis());
        strike(notice.fingerprint(), notice.crashedBackends(), nowMillis + remaining);
        bound();
    }

    /**
     * Decides whether a request may run on a backend server.
     *
     * @param fingerprint hash of service and prompt
     * @param backend the backend server
     * @param nowMillis reading of the clock
     */
    public Verdict mayRun(long fingerprint, BackendId backend, long nowMillis) {
        Optional<Strikes> strikes = strikes(fingerprint, nowMillis);
        if (strikes.isEmpty()) {
            return Verdict.MAY_RUN;
        }
        if (enough(strikes.get())) {
            return Verdict.QUARANTINED;
        }
        boolean diedThere = strikes.get().struck().contains(backend);
        boolean otherStruck =
                mRunning.getOrDefault(backend, Map.of()).keySet().stream()
                        .filter(other -> other != fingerprint)
                        .anyMatch(other -> strikes(other, nowMillis).isPresent());
        return diedThere || otherStruck ? Verdict.OTHER_BACKEND : Verdict.MAY_RUN;
    }

    /** Returns how long a request stays quarantined, in milliseconds; empty if it is not. */
    public Optional<Long> quarantinedMillis(long fingerprint, long nowMillis) {
        return strikes(fingerprint, nowMillis)
                .filter(this::enough)
                .map(strikes -> strikes.untilMillis() - nowMillis);
    }

    /** Returns everything that peers should know, for a host that has just started. */
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

    private boolean enough(Strikes strikes) {
        return strikes.struck().size() >= mSettings.strikesToQuarantine();
    }

    private void strike(long fingerprint, Set<BackendId> struck, long untilMillis) {
        Strikes fresh = new Strikes(Set.copyOf(struck), untilMillis);
        mStrikes.merge(fingerprint, fresh, (old, more) -> old.plus(struck, untilMillis));
    }

    private void forgetExpired(long nowMillis) {
        mStrikes.values().removeIf(strikes -> strikes.untilMillis() <= nowMillis);
    }

    private void bound() {
        while (mStrikes.size() > mSettings.maxFingerprints()) {
            mStrikes.entrySet().stream()
                    .min(LEAST_TELLING_FIRST)
                    .map(Map.Entry::getKey)
                    .ifPresent(mStrikes::remove);
        }
    }
}
