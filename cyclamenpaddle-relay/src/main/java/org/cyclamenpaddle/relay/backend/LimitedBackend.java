package org.cyclamenpaddle.relay.backend;

/**
 * A backend server that limits its calls, and for which this host holds too few permits.
 *
 * @param backend the server
 * @param perSecond limit on the calls of all hosts, in calls per second
 * @param calls number of calls that a request makes to it
 */
public record LimitedBackend(Backend backend, double perSecond, int calls) {

    private static final double MILLIHERTZ = 1_000;

    public LimitedBackend {
        if (backend == null || perSecond < 0 || calls < 1) {
            throw new IllegalArgumentException(
                    "limited server needs a backend, a limit of 0 or more and a call, got limit "
                            + perSecond
                            + " and calls "
                            + calls);
        }
    }

    /** Returns the limit in calls per 1,000 seconds. */
    public long limitMillihertz() {
        return Math.round(perSecond * MILLIHERTZ);
    }
}
