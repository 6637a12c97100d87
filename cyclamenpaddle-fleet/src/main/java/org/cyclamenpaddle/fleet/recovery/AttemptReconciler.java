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
 * Decides which attempts on one engine are to be cancelled because nobody stands for them.
 *
 * <p>The owner of the engine's ledger cancels attempts of hosts whose life has ended: confirmed
 * dead, or superseded by a later incarnation. Attempts of a host that is only suspected or leaving
 * are left alone, so a wrong suspicion costs no stream. Each host, owner or not, cancels those of
 * its own attempts that it no longer stands for.
 *
 * <p>Time until the memory of a killed host's attempts is free: at most 1,550 ms and two hops until
 * every host has the death confirmed (see {@code MembershipSettings}), and two round trips to the
 * engine, as the owner lists its attempts as soon as it learns of the death. If the host lives and
 * only lost the attempt, it sees it at the next listing, waits out the grace of 500 ms and cancels
 * at a later one: with a listing every 500 ms at most 1,000 ms. Both stay below 2,000 ms.
 *
 * <p>Not thread-safe.
 */
public final class AttemptReconciler {

    private final Incarnation mSelf;
    private final RecoverySettings mSettings;
    private final Map<AttemptId, Long> mDoubtedSince = new HashMap<>();

    /**
     * Creates the reconciler of one engine.
     *
     * @param self this host
     * @param settings graces
     */
    public AttemptReconciler(Incarnation self, RecoverySettings settings) {
        mSelf = self;
        mSettings = settings;
    }

    /**
     * Compares what the engine runs with who stands for it.
     *
     * @param listed what the engine lists
     * @param owner whether this host owns the engine's ledger
     * @param ownAttempts attempts that this host stands for
     * @param standing what is known of an incarnation
     * @param nowMillis reading of this host's clock, taken before the list was asked for
     */
    public List<RecoveryEffect> reconcile(
            List<EngineAttempt> listed,
            boolean owner,
            Set<AttemptId> ownAttempts,
            Function<Incarnation, IncarnationStatus> standing,
            long nowMillis) {
        List<RecoveryEffect> effects = new ArrayList<>();
        Map<AttemptId, Long> doubted = new HashMap<>();
        listed.stream()
                .filter(EngineAttempt::holdsResources)
                .map(EngineAttempt::attempt)
                .filter(attempt -> owner || isOwn(attempt))
                .forEach(
                        attempt -> {
                            Optional<Long> grace = grace(attempt, ownAttempts, standing);
                            if (grace.isEmpty()) {
                                return;
                            }
                            long since = mDoubtedSince.getOrDefault(attempt, nowMillis);
                            doubted.put(attempt, since);
                            if (nowMillis - since >= grace.get()) {
                                effects.add(new RecoveryEffect.Cancel(attempt));
                            }
                        });
        mDoubtedSince.clear();
        mDoubtedSince.putAll(doubted);
        return effects;
    }

    /**
     * Returns the grants of a ledger whose host's life has ended.
     *
     * @param registered attempts for which the ledger keeps room
     * @param standing what is known of an incarnation
     */
    public List<RecoveryEffect> releaseGrants(
            Collection<AttemptId> registered, Function<Incarnation, IncarnationStatus> standing) {
        return registered.stream()
                .filter(attempt -> standing(attempt, standing) == IncarnationStatus.ENDED)
                .sorted()
                .map(RecoveryEffect.ReleaseGrant::new)
                .collect(Collectors.toList());
    }

    /** Returns how long an attempt may still run; empty if somebody stands for it. */
    private Optional<Long> grace(
            AttemptId attempt,
            Set<AttemptId> ownAttempts,
            Function<Incarnation, IncarnationStatus> standing) {
        if (isOwn(attempt)) {
            return ownAttempts.contains(attempt)
                    ? Optional.empty()
                    : Optional.of(mSettings.orphanGraceMillis());
        }
        return switch (standing(attempt, standing)) {
            case RUNNING -> Optional.empty();
            case ENDED -> Optional.of(0L);
            case UNKNOWN -> Optional.of(mSettings.unknownHostGraceMillis());
        };
    }

    private boolean isOwn(AttemptId attempt) {
        return attempt.holder().filter(mSelf::equals).isPresent();
    }

    private static IncarnationStatus standing(
            AttemptId attempt, Function<Incarnation, IncarnationStatus> standing) {
        return attempt.holder().map(standing).orElse(IncarnationStatus.UNKNOWN);
    }
}
