package org.cyclamenpaddle.router.blackboard;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.cyclamenpaddle.core.id.AttemptId;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.message.GrantRequest;

/** What this host's requests hold: attempts on backend servers, and room asked for. */
public final class RequestTable {

    private final Map<AttemptId, BackendId> mRunning = new HashMap<>();
    private final Map<AttemptId, GrantRequest> mAsked = new HashMap<>();
    private int mInFlight;

    /** Counts a caller's request that came in ({@code 1}) or ended ({@code -1}). */
    public void changeInFlight(int change) {
        mInFlight += change;
    }

    /** Returns the callers' requests in flight. */
    public int inFlight() {
        return mInFlight;
    }

    /** Notes that an attempt starts. */
    public void started(AttemptId attempt, BackendId backend) {
        mRunning.put(attempt, backend);
    }

    /** Notes that an attempt has ended; returns where it was running, if it was. */
    public Optional<BackendId> ended(AttemptId attempt) {
        return Optional.ofNullable(mRunning.remove(attempt));
    }

    /** Notes that room was asked for. */
    public void grantRequested(GrantRequest ask) {
        mAsked.put(ask.attempt(), ask);
    }

    /** Notes that room is not needed any more. */
    public void grantReleased(AttemptId attempt) {
        mAsked.remove(attempt);
    }

    /** Returns the room asked for on a backend server, to tell a new owner. */
    public List<GrantRequest> grantsRequestedOn(BackendId backend) {
        return mAsked.values().stream()
                .filter(ask -> ask.backend().equals(backend))
                .collect(Collectors.toList());
    }

    /** Returns the attempts that this host stands for. */
    public Set<AttemptId> attempts() {
        return Set.copyOf(mRunning.keySet());
    }
}
