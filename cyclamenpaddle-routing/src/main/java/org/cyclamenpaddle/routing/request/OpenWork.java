package org.cyclamenpaddle.routing.request;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cyclamenpaddle.core.id.AttemptId;
import org.cyclamenpaddle.core.id.BackendId;

/**
 * Grants and attempts that a request holds, so that every way out gives all of them back.
 *
 * <p>A way out that forgot one would leave engine memory held for a caller who has gone.
 */
final class OpenWork {

    private final Map<AttemptId, BackendId> mGrants = new LinkedHashMap<>();
    private final Map<AttemptId, BackendId> mAttempts = new LinkedHashMap<>();

    void openGrant(AttemptId attempt, BackendId backend) {
        mGrants.put(attempt, backend);
    }

    void openAttempt(AttemptId attempt, BackendId backend) {
        mAttempts.put(attempt, backend);
    }

    /** The engine itself said that the attempt has ended. */
    void attemptEnded(AttemptId attempt) {
        mAttempts.remove(attempt);
    }

    /** The owner itself said that it holds no room for the attempt. */
    void grantRefused(AttemptId attempt) {
        mGrants.remove(attempt);
    }

    /** Gives back the room of one attempt, if any is held. */
    List<RequestEffect> closeGrant(AttemptId attempt) {
        BackendId backend = mGrants.remove(attempt);
        return backend == null
                ? List.of()
                : List.of(new RequestEffect.ReleaseGrant(attempt, backend));
    }

    /** Cancels one attempt, if open, and gives back its room. */
    List<RequestEffect> close(AttemptId attempt) {
        List<RequestEffect> effects = new ArrayList<>();
        BackendId backend = mAttempts.remove(attempt);
        if (backend != null) {
            effects.add(new RequestEffect.Cancel(attempt, backend));
        }
        effects.addAll(closeGrant(attempt));
        return effects;
    }

    List<RequestEffect> closeAll() {
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
