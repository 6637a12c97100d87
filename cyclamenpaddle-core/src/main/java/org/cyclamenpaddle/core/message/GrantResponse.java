package org.cyclamenpaddle.core.message;

import org.cyclamenpaddle.core.id.AttemptId;
import org.cyclamenpaddle.core.id.BackendId;

/**
 * Response to {@link GrantRequest}.
 *
 * @param attempt the attempt that requested the reservation
 * @param backend the backend server
 * @param decision the owner's decision
 * @param startInMillis when the capacity is, or would be, available, in milliseconds from now
 * @param endInMillis when the granted work is expected to end, in milliseconds from now
 */
public record GrantResponse(
        AttemptId attempt,
        BackendId backend,
        GrantDecision decision,
        long startInMillis,
        long endInMillis)
        implements PeerMessage {}
