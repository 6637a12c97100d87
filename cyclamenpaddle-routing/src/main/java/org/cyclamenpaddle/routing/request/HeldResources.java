package org.cyclamenpaddle.routing.request;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cyclamenpaddle.core.id.AttemptId;
import org.cyclamenpaddle.core.id.BackendId;

/**
 * Tracks the grants and attempts that a request holds, so that every way of ending it releases all
 * of them.
 *
 * <p>A path that missed one would leave engine memory held for a caller that has disconnected.
 */
final class HeldResources {

    private final Map<AttemptId, BackendId> mGrants = new LinkedHashMap<>();
    private final Map<AttemptId, BackendId> mAttempts = new LinkedHashMap<>();

    void addGrant(AttemptId attempt, BackendId backend) {
        mGrants.put(attempt, backend);
    }

    void addAttempt(AttemptId attempt, BackendId backend) {
        mAttempts.put(attempt, backend);
    }

    /** Removes an attempt that the engine has reported as ended. */
    void removeAttempt(AttemptId attempt) {
        mAttempts.remove(attempt);
    }

    /** Removes a grant that the owner has reported as not held. */
    void removeGrant(AttemptId attempt) {
        mGrants.remove(attempt);
    }

    /** Releases the grant of one attempt, if any is held. */
    List<RequestEffect> releaseGrant(AttemptId attempt) {
        BackendId backend = mGrants.remove(attempt);
        return backend == null
                ? List.of()
                : List.of(new RequestEffect.ReleaseGrant(attempt, backend));
    }

    /** Cancels one attempt, if it is open, and releases its grant. */
    List<RequestEffect> release(AttemptId attempt) {
        List<RequestEffect> effects = new ArrayList<>();
        BackendId backend = mAttempts.remove(attempt);
        if (backend != null) {
            effects.add(new RequestEffect.Cancel(attempt, backend));
        }
        effects.addAll(releaseGrant(attempt));
        return effects;
    }

    List<RequestEffect> releaseAll() {
        List<RequestEffect> effects = new ArrayList<>();
        mAttempts.forEach((id, backend) -> effects.add(new RequestEffect.Cancel(id, backend)));
        mGrants.forEach((id, backend) -> effects.add(new RequestEffect.ReleaseGrant(id, backend)));
        mAttempts.clear();
        mGrants.clear();
        return effects;
    }

    boolean isEmpty() {
        return mGrants.isEmpty() && mAttempts.isEmpty();
    }
}
