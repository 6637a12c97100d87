package org.cyclamenpaddle.routing.queue;

import org.cyclamenpaddle.core.id.TeamName;

/**
 * A request that waits.
 *
 * @param item the request
 * @param team the team it is counted for
 * @param cost work it stands for, such as prompt tokens; at least 1
 * @param hopelessAfterMillis last reading of the clock at which starting it still helps
 * @param <T> type of the request, with equality by identity of the request
 */
public record Waiting<T>(T item, TeamName team, int cost, long hopelessAfterMillis) {

    public Waiting {
        if (item == null || team == null) {
            throw new IllegalArgumentException("waiting request lacks item or team");
        }
        if (cost < 1) {
            throw new IllegalArgumentException("cost " + cost + " must be above 0");
        }
    }

    /** Returns whether starting it does not help any more. */
    public boolean hopeless(long nowMillis) {
        return nowMillis > hopelessAfterMillis;
    }
}
