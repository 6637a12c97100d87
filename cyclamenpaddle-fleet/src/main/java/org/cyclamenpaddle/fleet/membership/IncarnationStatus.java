package org.cyclamenpaddle.fleet.membership;

import org.cyclamenpaddle.core.id.Incarnation;
import org.cyclamenpaddle.core.message.HostRecord;
import org.cyclamenpaddle.core.message.HostState;

/** Status of one incarnation of a host. */
public enum IncarnationStatus {
    /** The incarnation is running as far as is known; the host may be suspect or leaving. */
    RUNNING,
    /** The incarnation has ended: the host is confirmed dead, or a later incarnation is known. */
    ENDED,
    /** The incarnation is not known. */
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
