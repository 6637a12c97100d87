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

/** Attempts on backend servers and grant requests of this host's requests. */
public final class RequestTable {

    private final Map<AttemptId, BackendId> mRunning = new HashMap<>();
    private final Map<AttemptId, GrantRequest> mRequestedGrants = new HashMap<>();
    private int mInFlight;

    /** Counts a caller's request that started ({@code 1}) or ended ({@code -1}). */
    public void changeInFlight(int change) {
        mInFlight += change;
    }

    /** Returns the number of callers' requests in flight. */
    public int inFlight() {
        return mInFlight;
    }

    /** Records that an attempt starts. */
    public void started(AttemptId attempt, BackendId backend) {
        mRunning.put(attempt, backend);
    }

    /**
     * Records that an attempt has ended; returns the backend server that was running it, if any.
     */
    public Optional<BackendId> ended(AttemptId attempt) {
        return Optional.ofNullable(mRunning.remove(attempt));
    }

    /** Records a grant request. */
    public void grantRequested(GrantRequest request) {
        mRequestedGrants.put(request.attempt(), request);
    }

    /** Records that an attempt no longer needs its grant. */
    public void grantReleased(AttemptId attempt) {
        mRequestedGrants.remove(attempt);
    }

    /** Returns the grant requests for a backend server, to register them with a new owner. */
    public List<GrantRequest> grantsRequestedOn(BackendId backend) {
        return mRequestedGrants.values().stream()
                .filter(request -> request.backend().equals(backend))
                .collect(Collectors.toList());
    }

    /** Returns the running attempts that this host is responsible for. */
    public Set<AttemptId> attempts() {
        return Set.copyOf(mRunning.keySet());
    }
}
