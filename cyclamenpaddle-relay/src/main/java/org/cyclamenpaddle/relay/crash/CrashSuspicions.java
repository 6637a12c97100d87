package org.cyclamenpaddle.relay.crash;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.relay.backend.Backend;

/**
 * Connections that ended within a response, until it is known whether their server has ended.
 *
 * <p>Not thread-safe.
 */
final class CrashSuspicions {

    /**
     * Time for which a lost connection is kept, in milliseconds: the store shows a server that has
     * ended after its lease of some seconds.
     */
    static final long RETENTION_MILLIS = 8_000;

    private record Suspicion(LostConnection lost, long lostMillis) {}

    private record End(CrashEvidence evidence, long noticedMillis) {}

    private final Map<BackendId, List<Suspicion>> mPending = new HashMap<>();
    private final Map<BackendId, End> mEnded = new HashMap<>();
    private final Set<BackendId> mListening = new HashSet<>();

    /** Adds a lost connection. */
    void add(LostConnection lost, long nowMillis) {
        removeExpired(nowMillis);
        mPending.computeIfAbsent(lost.incarnation(), server -> new ArrayList<>())
                .add(new Suspicion(lost, nowMillis));
    }

    /** Returns what has shown the end of an incarnation; empty if nothing has. */
    Optional<CrashEvidence> evidence(Backend backend) {
        return Optional.ofNullable(mEnded.get(LostConnection.incarnation(backend)))
                .map(End::evidence);
    }

    /** Records that a process listens at the address of a server after a connection was lost. */
    void listens(Backend backend) {
        mListening.add(LostConnection.incarnation(backend));
    }

    /**
     * Returns whether a process was found listening. If its entry disappears later, that is no
     * evidence that it ended when the connection was lost.
     */
    boolean isListening(Backend backend) {
        return mListening.contains(LostConnection.incarnation(backend));
    }

    /** Returns whether connections to a server were lost and nothing has explained that yet. */
    boolean isSuspect(Backend backend) {
        return mPending.containsKey(LostConnection.incarnation(backend));
    }

    boolean isEmpty() {
        return mPending.isEmpty();
    }

    /** Removes the suspicions against a server that has responded to a later request. */
    void responded(Backend backend, long sentMillis) {
        mPending.computeIfPresent(
                LostConnection.incarnation(backend),
                (server, suspicions) -> {
                    suspicions.removeIf(suspicion -> suspicion.lostMillis() < sentMillis);
                    return suspicions.isEmpty() ? null : suspicions;
                });
    }

    /** Removes and returns the lost connections of an incarnation that has ended. */
    List<LostConnection> ended(BackendId incarnation, CrashEvidence evidence, long nowMillis) {
        removeExpired(nowMillis);
        mEnded.put(incarnation, new End(evidence, nowMillis));
        List<Suspicion> suspicions = mPending.remove(incarnation);
        return suspicions == null
                ? List.of()
                : suspicions.stream().map(Suspicion::lost).distinct().toList();
    }

    /** Returns the servers with lost connections. */
    List<Backend> suspects() {
        return mPending.values().stream()
                .map(suspicions -> suspicions.get(0).lost().backend())
                .toList();
    }

    private void removeExpired(long nowMillis) {
        long oldest = nowMillis - RETENTION_MILLIS;
        mPending.values()
                .removeIf(
                        suspicions -> {
                            suspicions.removeIf(suspicion -> suspicion.lostMillis() < oldest);
                            return suspicions.isEmpty();
                        });
        mEnded.values().removeIf(end -> end.noticedMillis() < oldest);
        mListening.retainAll(mPending.keySet());
    }
}
