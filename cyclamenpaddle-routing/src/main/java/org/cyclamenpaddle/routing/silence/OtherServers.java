package org.cyclamenpaddle.routing.silence;

import java.util.Collection;

/** State of the servers that could run a request beside the one that is silent. */
public enum OtherServers {
    /** At least one of them responds. */
    AVAILABLE,
    /** None responds, and one has got its work so recently that it may still do. */
    AWAITED,
    /** None responds, and at least one has nothing to respond to. */
    UNTRIED,
    /** All of them are silent as well. */
    SILENT,
    /** There is none. */
    NONE;

    /**
     * Returns the state of a set of servers.
     *
     * @param others activity of each server that could run the request
     * @param limitMillis time from which a server with work counts as silent
     */
    public static OtherServers of(Collection<ServerActivity> others, long limitMillis) {
        if (others.isEmpty()) {
            return NONE;
        }
        if (others.stream().anyMatch(server -> server.isHeard(limitMillis))) {
            return AVAILABLE;
        }
        if (others.stream().allMatch(server -> server.isSilent(limitMillis))) {
            return SILENT;
        }
        return others.stream().anyMatch(server -> server.busy() && !server.isSilent(limitMillis))
                ? AWAITED
                : UNTRIED;
    }
}
