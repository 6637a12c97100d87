package org.cyclamenpaddle.core.message;

import org.cyclamenpaddle.core.id.AttemptId;
import org.cyclamenpaddle.core.id.BackendId;

/**
 * Answer to {@link GrantRequest}.
 *
 * @param attempt the attempt that asked
 * @param backend the backend server
 * @param decision what was decided
 * @param startInMillis when the room is, or would be, there, from now
 * @param endInMillis when the granted work is expected to end, from now
 */
public record GrantResponse(
        AttemptId attempt,
        BackendId backend,
        GrantDecision decision,
        long startInMillis,
        long endInMillis)
        implements PeerMessage {}
