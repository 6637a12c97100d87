package org.cyclamenpaddle.fleet.membership;

import org.cyclamenpaddle.core.id.Incarnation;
import org.cyclamenpaddle.core.message.HostRecord;
import org.cyclamenpaddle.core.message.HostState;

/** What is known of one life of a host. */
public enum IncarnationStatus {
    /** That life goes on as far as is known, be the host suspect or leaving. */
    RUNNING,
    /** That life ended: the host is confirmed dead, or a later life of it was heard of. */
    ENDED,
    /** Nothing is known of it. */
    UNKNOWN;

    static IncarnationStatus of(HostRecord record, Incarnation incarnation) {
        if (record.incarnation().supersedes(incarnation)) {
            return ENDED;
        }
        if (!record.incarnation().equals(incarnation)) {
            return UNKNOWN;
        }
        return record.state() == HostState.DEAD ? ENDED : RUNNING;
    }
}
