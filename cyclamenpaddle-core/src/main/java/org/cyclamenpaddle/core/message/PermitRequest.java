package org.cyclamenpaddle.core.message;

import org.cyclamenpaddle.core.id.BackendId;

/**
 * Asks the owner of a backend server's limit for permission to call the server.
 *
 * @param backend the server
 * @param startedMillis start of its incarnation
 * @param limitMillihertz limit that the server has named to the asking host, in calls per 1,000
 *     seconds
 * @param calls number of calls to make, 1 or more
 */
public record PermitRequest(BackendId backend, long startedMillis, long limitMillihertz, int calls)
        implements PeerMessage {

    public PermitRequest {
        if (backend == null || limitMillihertz < 0 || calls < 1) {
            throw new IllegalArgumentException(
                    "permit needs a backend server, a limit of 0 or more and a call, got limit "
                            + limitMillihertz
                            + " and calls "
                            + calls);
        }
    }
}
