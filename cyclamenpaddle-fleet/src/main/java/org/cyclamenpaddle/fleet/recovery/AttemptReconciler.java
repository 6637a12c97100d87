package org.cyclamenpaddle.fleet.recovery;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.cyclamenpaddle.core.id.AttemptId;
import org.cyclamenpaddle.core.id.Incarnation;
import org.cyclamenpaddle.fleet.membership.IncarnationStatus;

/**
 * Detects orphaned attempts on one engine and cancels them.
 *
 * <p>The owner of the engine's ledger cancels attempts of ended incarnations, which are confirmed
 * dead or superseded by a later incarnation. Attempts of a host that is only suspected or leaving
 * are not cancelled, so a false suspicion aborts no stream. Each host, owner or not, cancels those
 * of its own attempts that it no longer tracks.
 *
 * <p>The memory of a killed host's attempts is freed after at most 1,550 ms and two hops until
 * every host has confirmed the death (see {@code MembershipSettings}), and two round trips to the
 * engine, as the owner lists its attempts as soon as it learns of the death. If the host is alive
 * and only lost track of the attempt, it detects it in the next listing, waits for the grace period
 * of 500 ms and cancels it at a later listing: with a listing every 500 ms, within 1,000 ms. Both
 * stay below 2,000 ms.
 *
 * <p>Not thread-safe.
 */
public final class AttemptReconciler {

    private final Incarnation mSelf;
    private final RecoverySettings mSettings;
    private final Map<AttemptId, Long> mOrphanedSinceMillis = new HashMap<>();

    /**
     * Creates the reconciler of one engine.
     *
     * @param self this host
     * @param settings grace periods
     */
    public AttemptReconciler(Incarnation self, RecoverySettings settings) {
        mSelf = self;
        mSettings = settings;
    }

    /**
     * Compares the attempts on the engine with the hosts that started them.
     *
     * @param listed attempts that the engine lists
     * @param owner whether this host owns the engine's ledger
     * @param ownAttempts attempts that this host tracks
     * @param status status of an incarnation
     * @param nowMillis reading of this host's clock, taken before the list was requested
     */
    public List<RecoveryEffect> reconcile(
            List<EngineAttempt> listed,
            boolean owner,
            Set<AttemptId> ownAttempts,
            Function<Incarnation, IncarnationStatus> status,
            long nowMillis) {
        List<RecoveryEffect> effects = new ArrayList<>();
        Map<AttemptId, Long> orphaned = new HashMap<>();
        listed.stream()
                .filter(EngineAttempt::holdsResources)
                .map(EngineAttempt::attempt)
                .filter(attempt -> owner || startedHere(attempt))
                .forEach(
                        attempt -> {
                            Optional<Long> graceMillis = graceMillis(attempt, ownAttempts, status);
                            if (graceMillis.isEmpty()) {
                                return;
                            }
                            long sinceMillis =
                                    mOrphanedSinceMillis.getOrDefault(attempt, nowMillis);
                            orphaned.put(attempt, sinceMillis);
                            if (nowMillis - sinceMillis >= graceMillis.get()) {
                                effects.add(new RecoveryEffect.Cancel(attempt));
                            }
                        });
        mOrphanedSinceMillis.clear();
        mOrphanedSinceMillis.putAll(orphaned);
        return effects;
    }

    /**
     * Releases the grants of ended incarnations.
     *
     * @param registered attempts that have reservations in the ledger
     * @param status status of an incarnation
     */
    public List<RecoveryEffect> releaseGrants(
            Collection<AttemptId> registered, Function<Incarnation, IncarnationStatus> status) {
        return registered.stream()
                .filter(attempt -> holderStatus(attempt, status) == IncarnationStatus.ENDED)
                .sorted()
                .map(RecoveryEffect.ReleaseGrant::new)
                .collect(Collectors.toList());
    }

    /** Returns the grace period of an orphaned attempt; empty if the attempt is not orphaned. */
    private Optional<Long> graceMillis(
            AttemptId attempt,
            Set<AttemptId> ownAttempts,
            Function<Incarnation, IncarnationStatus> status) {
        if (startedHere(attempt)) {
            return ownAttempts.contains(attempt)
                    ? Optional.empty()
                    : Optional.of(mSettings.orphanGraceMillis());
        }
        return switch (holderStatus(attempt, status)) {
            case RUNNING -> Optional.empty();
            case ENDED -> Optional.of(0L);
            case UNKNOWN -> Optional.of(mSettings.unknownHostGraceMillis());
        };
    }

    private boolean startedHere(AttemptId attempt) {
        return attempt.holder().filter(mSelf::equals).isPresent();
    }

    private static IncarnationStatus holderStatus(
            AttemptId attempt, Function<Incarnation, IncarnationStatus> status) {
        return attempt.holder().map(status).orElse(IncarnationStatus.UNKNOWN);
    }
}
