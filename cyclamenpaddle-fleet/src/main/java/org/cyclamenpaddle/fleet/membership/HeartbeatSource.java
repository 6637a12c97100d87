package org.cyclamenpaddle.fleet.membership;

import java.util.List;
import org.cyclamenpaddle.core.message.LedgerSummary;

/** Source of the contents of heartbeats that other parts of the process provide. */
public interface HeartbeatSource {

    /** Returns the digest of the configuration replica. */
    long configurationDigest();

    /** Returns the version of the object that names the preset in force; 0 if none. */
    long inForceVersion();

    /** Returns summaries of the ledgers that this host owns. */
    List<LedgerSummary> ledgers();
}
