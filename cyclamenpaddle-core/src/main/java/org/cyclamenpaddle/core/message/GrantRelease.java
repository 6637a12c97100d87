package org.cyclamenpaddle.core.message;

import org.cyclamenpaddle.core.id.AttemptId;
import org.cyclamenpaddle.core.id.BackendId;

/**
 * Says that an attempt needs its room no more; idempotent.
 *
 * @param attempt the attempt
 * @param backend the backend server
 */
public record GrantRelease(AttemptId attempt, BackendId backend) implements PeerMessage {}
