package org.cyclamenpaddle.core.message;

import java.util.List;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.id.ServiceName;

/**
 * Reports the end of a backend server and the runs that the sender lost with it.
 *
 * @param service service of the server
 * @param server incarnation of the server
 * @param lost runs that may have ended it
 */
public record PartStrikeNotice(ServiceName service, BackendId server, List<LostRun> lost)
        implements CrashMessage {

    public PartStrikeNotice {
        lost = List.copyOf(lost);
    }
}
